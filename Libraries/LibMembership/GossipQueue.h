#pragma once

#include <LibMembership/ProbeDatagram.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// News that still has to be passed on. Each item is sent a bounded number of times, the newest first.
class GossipQueue
{
public:
    /// Queues a member record, and drops queued older records of the same member.
    void push(MemberUpdate update, std::size_t transmissions);
    /// Queues a crash suspect, and drops the queued older entry with the same fingerprint.
    void push(const CrashSuspectEntry &entry, std::size_t transmissions);

    /// Adds items of at most \a budget bytes to \a cargo and counts them as sent once.
    void fill(ProbeCargo &cargo, std::size_t budget);

    bool isEmpty() const
    {
        return m_items.empty();
    }

private:
    using Content = std::variant<MemberUpdate, CrashSuspectEntry>;
    struct Item
    {
        Content content;
        std::size_t bytes = 0;
        std::size_t remaining = 0;
    };

    void add(Content content, std::size_t transmissions);

    /// The newest last.
    std::vector<Item> m_items;
};

/// Number of times that each of \a members members passes an item on, so that it reaches all with high probability.
std::size_t gossipTransmissions(std::size_t members, std::size_t factor);

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/RouteRules.h>
#include <LibCore/Clock.h>
#include <LibRequest/ClaimMessages.h>
#include <LibRequest/FairQueue.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace Fuchsiastep {

/// The order in which requests wait for the slots of one upstream: by priority, then by the time at which their answer
/// is due, in fair shares among the workspaces of one priority. It answers overload by requests of several priorities: urgent
/// ones wait least, and the others still get a share of the slots.
class AdmissionQueue
{
public:
    /// One start in this many goes to the request that is due first, whatever its priority.
    static constexpr std::uint32_t StartsPerFairOne = 5;

    struct Entry
    {
        LocalId localId = 0;
        RequestPriority priority = RequestPriority::Normal;
        /// When the answer loses use for the caller.
        TimePoint dueAt;
        /// Expected time on the upstream.
        Duration service {0};
        /// Workspace of the caller; empty for none.
        std::string workspace {};
    };

    void push(const Entry &entry);
    void remove(const Entry &entry);
    /// The request that starts next; removes it.
    std::optional<LocalId> pop();
    /// The request to shed for one of this priority and workspace: the one below the priority that is due last, else one of a
    /// workspace of the same priority that has more than its share of the places.
    std::optional<LocalId> excessFor(RequestPriority priority, const std::string &workspace) const;

    bool isEmpty() const;
    std::size_t size() const;
    /// Service time of the requests that start before this one, which is not queued yet.
    Duration workAhead(const Entry &entry) const;

private:
    static FairQueue::Entry itemOf(const Entry &entry);
    FairQueue *nextLevel();

    std::array<FairQueue, 3> m_levels;
    std::uint32_t m_starts = 0;
};

} // namespace Fuchsiastep

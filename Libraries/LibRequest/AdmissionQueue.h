#pragma once

#include <LibConfiguration/RouteRules.h>
#include <LibCore/Clock.h>
#include <LibRequest/ClaimMessages.h>

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

namespace Fuchsiastep {

/// The order in which requests wait for the slots of one upstream: by priority, then by the time at which their answer
/// is due. It answers overload by requests of several priorities: urgent ones wait least, and the others still get a
/// share of the slots.
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
    };

    void push(const Entry &entry);
    void remove(const Entry &entry);
    /// The request that starts next; removes it.
    std::optional<LocalId> pop();
    /// The request below \a priority that is due last, to be shed for a more urgent one.
    std::optional<LocalId> leastUrgentBelow(RequestPriority priority) const;

    bool isEmpty() const;
    std::size_t size() const;
    /// Service time of the requests that start before one of this priority and due time.
    Duration workAhead(RequestPriority priority, TimePoint dueAt) const;

private:
    using Key = std::tuple<TimePoint, LocalId, Duration>;
    using Level = std::set<Key>;

    static Key keyOf(const Entry &entry);
    Level *nextLevel();

    std::array<Level, 3> m_levels;
    std::array<Duration, 3> m_work {};
    std::uint32_t m_starts = 0;
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>

#include <optional>

namespace Fuchsiastep {

/// Decides which calls a draining proxy still takes. It answers callers that have not yet learned that the proxy leaves, and
/// the calls of runs that are still in progress on its upstream: refusing one of those fails the run. What is taken has to
/// be answered before the process ends.
class DrainAdmission
{
public:
    struct Settings
    {
        /// How long calls are taken after the start, so that callers have time to go elsewhere.
        Duration lingerTime {0};
        /// From the start until what has no outcome is ended.
        Duration drainTime {0};
    };

    DrainAdmission(const Settings &settings, const Clock &clock) : m_settings(settings), m_clock(clock)
    { }

    void start();
    bool isDraining() const
    {
        return m_startedAt.has_value();
    }
    bool isLingering() const;
    /// When what has no outcome is ended; TimePoint::max() before the start.
    TimePoint endsAt() const;
    /// \a timeLeft until the deadline of the call, \a target the latency that its route aims at, 0 for none.
    /// \a isOfOwnRun: the upstream beside this proxy makes the call, and a run is in progress there.
    bool mayTake(Duration timeLeft, Duration target, bool isOfOwnRun) const;

private:
    Settings m_settings;
    const Clock &m_clock;
    std::optional<TimePoint> m_startedAt;
};

} // namespace Fuchsiastep

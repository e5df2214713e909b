#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/FailureDetectorSettings.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace Fuchsiastep {

/// Decides from rounds of pings to several peers at once whether most peers disappeared, which rather means that this
/// proxy is cut off than that all of them failed.
class IsolationWatch
{
public:
    enum class Verdict {
        Unchanged,
        Suspected,
        Ended,
    };

    explicit IsolationWatch(const FailureDetectorSettings &settings) : m_settings(settings)
    { }

    bool isIsolated() const
    {
        return m_isolatedSince.has_value();
    }
    bool isRoundRunning() const
    {
        return m_roundEnd.has_value();
    }
    std::size_t missed() const
    {
        return m_missed;
    }
    std::size_t probed() const
    {
        return m_probed;
    }

    /// Starts a round. \a missedBefore counts peers that are known not to answer.
    void beginRound(std::set<std::uint64_t> sequences, std::size_t missedBefore, TimePoint now);
    /// A peer answered the ping with this sequence.
    void answered(std::uint64_t sequence);
    /// Ends the round that is due. \a isOutsideReached says that something beyond the data centre answered lately.
    Verdict finishRound(TimePoint now, bool isOutsideReached);
    /// Drops the round, whose pings a pause of the process made worthless.
    void cancelRound();
    /// When the round ends; nothing where none runs.
    std::optional<TimePoint> nextDeadline() const
    {
        return m_roundEnd;
    }

private:
    Verdict judge(TimePoint now, bool isOutsideReached);

    FailureDetectorSettings m_settings;
    std::set<std::uint64_t> m_outstanding;
    std::size_t m_probed = 0;
    std::size_t m_missed = 0;
    std::optional<TimePoint> m_roundEnd;
    std::optional<TimePoint> m_isolatedSince;
    /// A real loss of most peers was recognised; it does not count as isolation again before this time.
    TimePoint m_excusedUntil;
};

} // namespace Fuchsiastep

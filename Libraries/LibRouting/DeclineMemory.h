#pragma once

#include <LibCore/LibCore.h>
#include <LibWire/LoadReport.h>

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

namespace Fuchsiastep {

/// Remembers which upstreams have just declined requests of a selector because their queue is too long. It is meant for a
/// service beyond its capacity: without it each proxy offers each request to the same few upstreams that look best, and
/// declining costs the proxies beside them the processor time that their runs need.
class DeclineMemory
{
public:
    struct Settings
    {
        /// Declines in a row that begin a hold-off. Fewer come from a queue that is long for a moment only, and the next
        /// request may well find a place in it.
        std::uint32_t declinesInRow = 2;
        /// Declines that are further apart are not in a row: the queue has been worked off in between.
        Duration rowTime = std::chrono::seconds(1);
        /// Offers of the whole fleet for each run that the upstream ends: enough that one comes soon after a slot is free.
        double offersPerRun = 2;
        /// Longest hold-off, as a share of the time until the target: a gate that keeps half of it for the run declines when
        /// the work that is queued lasts for the other half, and until then no slot is free.
        double maximumTargetShare = 0.5;
        /// A request with up to this many times as much time is declined for the same reason.
        double timeTolerance = 1.25;
        /// The hold-off varies by this share to either side, so that the proxies do not return together.
        double spread = 0.25;
    };

    DeclineMemory(const Settings &settings, const Clock &clock, Random &random);

    /// Proxies that may offer requests.
    void setProxyCount(std::size_t count);
    /// The upstream declined a request that had \a timeLeft until its target. Reports without slots are ignored.
    void recordDecline(const std::string &upstreamId, const std::string &selector, Duration timeLeft, const LoadReport &report);
    /// Ends the hold-off of an upstream that has a free slot.
    void recordReport(const std::string &upstreamId, const LoadReport &report);
    void forget(const std::string &upstreamId);

    /// True while no upstream has declined anything, so that requests need not ask for each.
    bool isEmpty() const;
    /// Whether a request with \a timeLeft until its target would only be declined again.
    bool isHeldOff(const std::string &upstreamId, const std::string &selector, Duration timeLeft) const;

private:
    struct Decline
    {
        TimePoint at;
        TimePoint until;
        Duration timeLeft {0};
        std::uint32_t inRow = 0;
    };

    Settings m_settings;
    const Clock &m_clock;
    Random &m_random;
    std::size_t m_proxyCount = 1;
    /// By upstream, then by selector: how long a request waits and runs depends on its kind.
    std::unordered_map<std::string, std::map<std::string, Decline>> m_declines;
};

} // namespace Fuchsiastep

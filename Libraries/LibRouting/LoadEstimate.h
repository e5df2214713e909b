#pragma once

#include <LibConfiguration/Endpoint.h>
#include <LibCore/LibCore.h>
#include <LibWire/LoadReport.h>

#include <optional>
#include <string>
#include <unordered_map>

namespace Fuchsiastep {

/// Requests that an upstream is likely to hold: the proxy's own requests in flight, plus the work of others. The last
/// report tells that work for a moment; after it the mean of the reports does. In a large fleet most reports are seconds
/// old, and an upstream that counted as idle by then would draw the work of every proxy at once.
class LoadEstimate
{
public:
    struct Settings
    {
        /// The last report has half its weight against the mean after this time.
        Duration halfLife = std::chrono::milliseconds(500);
        /// Weight of a new report in the mean of an upstream.
        double reportWeight = 0.3;
        /// Reports of more than this many times the slots are cut off, because a report may be wrong.
        double maximumReportedSlots = 5;
        /// Weight of the load that the upstream reports itself, in slots at full load. It is small because that
        /// report may lag or mislead, while slots and queue are counted by the proxy beside the upstream.
        double selfReportWeight = 0.25;
        /// Own load from which an upstream counts as full, in multiples of its slots.
        double fullSlots = 3;
        /// What an upstream reported of its speed and failures has half its weight after this time, so that one that
        /// recovers is tried again.
        Duration speedHalfLife = std::chrono::seconds(4);
        /// Service time that is assumed of an upstream before anything is known of its service.
        Duration assumedServiceTime = std::chrono::milliseconds(100);
    };

    /// What a request sent now would meet.
    struct Expectation
    {
        /// Until a slot is free.
        Duration wait {0};
        Duration service {0};
        /// From 0 to 1.
        double failureShare = 0;
        /// Until a large answer could begin to leave the upstream's instance.
        Duration transfer {0};
    };

    LoadEstimate(const Settings &settings, const Clock &clock);

    void recordStart(const std::string &upstreamId);
    void recordEnd(const std::string &upstreamId);
    void recordReport(const std::string &upstreamId, const LoadReport &report);
    void forget(const std::string &upstreamId);

    std::uint32_t inFlight(const std::string &upstreamId) const;
    /// Occupied share of the slots; above 1 when requests wait.
    double load(const Endpoint &endpoint) const;
    /// True where another request would only wait or be shed. \a share is the one of ColdStartRamp.
    bool isFull(const Endpoint &endpoint, double share) const;
    /// \a typicalService is the mean of the service, which stands in for what is not known of the upstream.
    Expectation expectation(const Endpoint &endpoint, Duration typicalService) const;
    /// A service time that the upstream reported, and how much it still tells.
    struct ServiceTime
    {
        Duration time {0};
        /// From 0 to 1; falls with the age of the report.
        double weight = 0;
    };
    /// Nothing where the upstream reported none.
    std::optional<ServiceTime> serviceTime(const std::string &upstreamId) const;
    const Settings &settings() const
    {
        return m_settings;
    }

private:
    struct Upstream
    {
        std::uint32_t inFlight = 0;
        /// Work of other callers at the time of the last report, in requests.
        double reportedByOthers = 0;
        /// The same, as the mean of the recent reports.
        double meanByOthers = 0;
        bool hasReport = false;
        TimePoint reportedAt;
        std::optional<Duration> serviceTime;
        double failureShare = 0;
        Duration transfer {0};
        /// Mean of the recent reports.
        Duration meanTransfer {0};
    };

    double workOfOthers(const Upstream &upstream) const;
    static double weightAfter(Duration age, Duration halfLife);

    Settings m_settings;
    const Clock &m_clock;
    std::unordered_map<std::string, Upstream> m_upstreams;
};

} // namespace Fuchsiastep

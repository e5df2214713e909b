#pragma once

#include <LibConfiguration/Endpoint.h>
#include <LibCore/LibCore.h>

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Fuchsiastep {

/// Takes upstreams out of selection for a while on the evidence of requests. Evidence of own requests outranks
/// health reports in both directions. A shed request is no evidence and is not recorded here.
class EjectionPolicy
{
public:
    struct Settings
    {
        /// Consecutive failures that eject.
        std::uint32_t failureThreshold = 3;
        Duration firstEjection = std::chrono::seconds(1);
        Duration longestEjection = std::chrono::seconds(60);
        /// Share of the ejection time that is drawn at random on top, so that proxies do not return together.
        double jitterShare = 0.5;
        /// An upstream without failures for this time starts again with the first ejection time.
        Duration forgiveness = std::chrono::seconds(60);
        /// A success outranks bad health reports for this time.
        Duration evidenceAge = std::chrono::seconds(10);
        /// An upstream that is leaving is left out for this time.
        Duration leaving = std::chrono::seconds(5);
        /// At most one upstream in this many of a service is ejected at once.
        std::size_t ejectedDivisor = 3;
    };

    EjectionPolicy(const Settings &settings, const Clock &clock, Random &random);

    /// Upstreams of a service. Where the number falls, ejections that exceed the cap end.
    void setServiceSize(const std::string &service, std::size_t size);
    /// Raises the known number of upstreams of a service to at least \a size.
    void ensureServiceSize(const std::string &service, std::size_t size);

    void recordSuccess(const Endpoint &endpoint);
    /// The upstream answered with a failure, crashed or did not answer in time.
    void recordFailure(const Endpoint &endpoint);
    /// The connection to the proxy beside the upstream broke with requests on it, or could not be opened.
    void recordConnectionLoss(const Endpoint &endpoint);
    /// What the health endpoint of the upstream says.
    void recordHealthReport(const Endpoint &endpoint, bool isHealthy);
    /// The proxy beside the upstream says that it drains or that the upstream is gone. That is a fact and not
    /// counted as an ejection; it holds until membership has caught up.
    void recordLeaving(const Endpoint &endpoint);
    void forget(const std::string &service, const std::string &upstreamId);

    bool isEjected(const Endpoint &endpoint) const;
    /// Number of upstreams of a service that are ejected now.
    std::size_t ejectedCount(const std::string &service) const;

private:
    struct Upstream
    {
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t ejections = 0;
        TimePoint ejectedUntil;
        TimePoint lastFailure;
        std::optional<TimePoint> lastSuccess;
        TimePoint leavingUntil;
        std::uint64_t leavingIncarnation = 0;
    };
    struct Service
    {
        std::size_t size = 0;
        /// Upstreams ejected and not yet seen to be back, by end of the ejection.
        std::set<std::pair<TimePoint, std::string>> ejected;
    };

    void eject(const Endpoint &endpoint, Upstream &upstream);
    void endEjection(Service &service, const std::string &upstreamId, Upstream &upstream);
    void dropFinished(Service &service) const;

    Settings m_settings;
    const Clock &m_clock;
    Random &m_random;
    std::unordered_map<std::string, Upstream> m_upstreams;
    std::unordered_map<std::string, Service> m_services;
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Route.h>
#include <LibRouting/ColdStartRamp.h>
#include <LibRouting/EjectionPolicy.h>
#include <LibRouting/LoadEstimate.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// An upstream for a request, and how long the request may wait there before another one is the better choice.
struct Placement
{
    std::shared_ptr<const Endpoint> endpoint;
    /// Nothing where there is no other choice.
    std::optional<Duration> maximumWait;
};

/// Chooses the upstream whose answer is expected first. It is meant for a service near its capacity with upstreams of
/// different speed: a slow or failing upstream takes less work than its free slots suggest, and no request waits for a
/// slot while another upstream has a free one.
class PlacementPolicy
{
public:
    struct Settings
    {
        std::string proxyId;
        std::string dataCentre;
        std::string region;
        /// An answer of this size or more is large: it waits behind others to leave the instance of its upstream.
        double largeAnswerBytes = 8.0 * 1024;
        /// Added for an upstream in another data centre of the region: more than the random spread of a short run, so that
        /// requests stay where it makes little difference.
        Duration otherDataCentre = std::chrono::milliseconds(25);
        /// Added for an upstream in another region.
        Duration otherRegion = std::chrono::milliseconds(50);
        /// Bytes of answers that count as much as a second of delay when they leave the data centre, because the links
        /// between data centres are shared and paid for.
        double remoteBytesPerSecond = 500'000;
        /// The same for answers that leave the instance and stay in the data centre.
        double localBytesPerSecond = 2'000'000;
        /// Random share of the service time added to each estimate, so that callers with equal reports spread.
        double spread = 0.1;
        /// Work that fits the slots still slows an upstream that is nearly full, by this share of its service time.
        double fullnessShare = 0.1;
        /// A cold upstream takes this many times as long, until it reports its own times.
        double coldFactor = 2;
        /// A request moves on rather than wait longer than this beyond the next best choice.
        Duration waitSlack = std::chrono::milliseconds(15);
        /// Endpoints looked at for each request at most.
        std::size_t maximumProbes = 64;
        /// Endpoints of the own data centre that are compared for a request, drawn at random, and half as many others; 0 for all.
        /// Proxies that compare all of them by equally old reports choose the same one at the same moment.
        std::size_t sampleSize = 0;
        /// Routes with fewer endpoints are compared whole: there are not many ways to choose, and not many proxies that do.
        std::size_t sampledFrom = 16;
    };

    /// What the choice depends on beside the upstreams.
    struct Request
    {
        /// Target latency of the route; failures cost this much.
        Duration target {0};
        /// Expected size of the answer.
        double answerBytes = 0;
        /// Upstream ids that are left out.
        const std::vector<std::string> &excluded;
    };

    PlacementPolicy(Settings settings, const LoadEstimate &load, const EjectionPolicy &ejections, ColdStartRamp &ramp, Random &random);

    /// Nothing where every endpoint is excluded.
    std::optional<Placement> choose(const Route &route, const Request &request);
    /// Shortest expected wait of the route's upstreams.
    Duration shortestWait(const Route &route) const;

private:
    struct Candidate
    {
        std::size_t position = 0;
        Duration wait {0};
        /// Expected time until the answer, with everything that speaks against the upstream.
        Duration cost {0};
        bool isEjected = false;
    };

    using Positions = std::vector<std::size_t>;

    /// Positions of the endpoints that are compared.
    Positions drawPositions(const Route &route, const std::vector<std::string> &excluded);
    void drawSample(Positions::iterator begin, Positions::iterator end, std::size_t count, Positions &sample);
    Candidate examine(const Route &route, std::size_t position, const Request &request, Duration typicalService);
    Duration distance(const Endpoint &endpoint, double answerBytes) const;
    Duration typicalServiceTime(const Route &route) const;
    static bool isBetter(const Candidate &left, const Candidate &right);

    Settings m_settings;
    const LoadEstimate &m_load;
    const EjectionPolicy &m_ejections;
    ColdStartRamp &m_ramp;
    Random &m_random;
};

} // namespace Fuchsiastep

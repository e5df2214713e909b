#include <LibRouting/PlacementPolicy.h>

#include <algorithm>

namespace Fuchsiastep {

PlacementPolicy::PlacementPolicy(
    Settings settings, const LoadEstimate &load, const EjectionPolicy &ejections, ColdStartRamp &ramp, Random &random)
    : m_settings(std::move(settings)), m_load(load), m_ejections(ejections), m_ramp(ramp), m_random(random)
{ }

std::optional<Placement> PlacementPolicy::choose(const Route &route, const Request &request)
{
    const Duration typicalService = typicalServiceTime(route);
    std::optional<Candidate> best;
    std::optional<Candidate> next;
    for (const std::size_t position : drawPositions(route, request.excluded)) {
        const Candidate candidate = examine(route, position, request, typicalService);
        if (!best || isBetter(candidate, *best)) {
            next = best;
            best = candidate;
        } else if (!next || isBetter(candidate, *next)) {
            next = candidate;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    Placement placement {route.endpoints[best->position], std::nullopt};
    if (next && next->isEjected == best->isEjected) {
        placement.maximumWait = best->wait + (next->cost - best->cost) + m_settings.waitSlack;
    }
    return placement;
}

PlacementPolicy::Positions PlacementPolicy::drawPositions(const Route &route, const std::vector<std::string> &excluded)
{
    const std::size_t size = route.endpoints.size();
    const std::size_t probes = std::min(size, m_settings.maximumProbes);
    const std::size_t begin = size > 0 ? m_random.below(size) : 0;
    Positions positions;
    positions.reserve(probes);
    for (std::size_t count = 0; count < probes; ++count) {
        const std::size_t position = (begin + count) % size;
        const std::string &id = route.endpoints[position]->upstreamId;
        if (std::find(excluded.begin(), excluded.end(), id) == excluded.end()) {
            positions.push_back(position);
        }
    }
    if (m_settings.sampleSize == 0 || size < m_settings.sampledFrom) {
        return positions;
    }
    const auto isLocal = [&](std::size_t position) {
        return route.endpoints[position]->dataCentre == m_settings.dataCentre;
    };
    const auto remote = std::partition(positions.begin(), positions.end(), isLocal);
    Positions sample;
    drawSample(positions.begin(), remote, m_settings.sampleSize, sample);
    // Most requests stay in the data centre. Others are compared so that one without room there does not wait.
    drawSample(remote, positions.end(), sample.empty() ? m_settings.sampleSize : (m_settings.sampleSize + 1) / 2, sample);
    return sample;
}

void PlacementPolicy::drawSample(Positions::iterator begin, Positions::iterator end, std::size_t count, Positions &sample)
{
    for (; begin != end && count > 0; ++begin, --count) {
        const auto rest = static_cast<std::size_t>(std::distance(begin, end));
        std::iter_swap(begin, begin + static_cast<std::ptrdiff_t>(m_random.below(rest)));
        sample.push_back(*begin);
    }
}

PlacementPolicy::Candidate PlacementPolicy::examine(
    const Route &route, std::size_t position, const Request &request, Duration typicalService)
{
    const Endpoint &endpoint = *route.endpoints[position];
    const LoadEstimate::Expectation expected = m_load.expectation(endpoint, typicalService);
    const bool isCold = m_ramp.share(endpoint) < 1 && !m_load.serviceTime(endpoint.upstreamId);
    const Duration service = isCold ? scaled(expected.service, m_settings.coldFactor) : expected.service;
    Candidate candidate;
    candidate.position = position;
    candidate.wait = expected.wait;
    candidate.isEjected = m_ejections.isEjected(endpoint);
    const bool waitsToLeave = request.answerBytes >= m_settings.largeAnswerBytes && endpoint.proxyId != m_settings.proxyId;
    const Duration transfer = waitsToLeave ? expected.transfer : Duration(0);
    candidate.cost = expected.wait + transfer + service + scaled(service, m_settings.fullnessShare * std::min(1.0, m_load.load(endpoint)))
        + scaled(request.target, expected.failureShare) + distance(endpoint, request.answerBytes)
        + scaled(service, m_settings.spread * m_random.unit());
    return candidate;
}

Duration PlacementPolicy::distance(const Endpoint &endpoint, double answerBytes) const
{
    if (endpoint.proxyId == m_settings.proxyId) {
        return Duration(0);
    }
    constexpr double MicrosecondsPerSecond = 1e6;
    if (endpoint.dataCentre == m_settings.dataCentre) {
        // An answer of the own instance crosses no link at all.
        return Duration(static_cast<Duration::rep>(answerBytes / m_settings.localBytesPerSecond * MicrosecondsPerSecond));
    }
    const auto transfer = static_cast<Duration::rep>(answerBytes / m_settings.remoteBytesPerSecond * MicrosecondsPerSecond);
    return Duration(transfer) + (endpoint.region == m_settings.region ? m_settings.otherDataCentre : m_settings.otherRegion);
}

Duration PlacementPolicy::typicalServiceTime(const Route &route) const
{
    double sum = 0;
    double weights = 0;
    const std::size_t probes = std::min(route.endpoints.size(), m_settings.maximumProbes);
    for (std::size_t position = 0; position < probes; ++position) {
        if (const auto service = m_load.serviceTime(route.endpoints[position]->upstreamId)) {
            sum += static_cast<double>(service->time.count()) * service->weight;
            weights += service->weight;
        }
    }
    return weights > 0 ? Duration(static_cast<Duration::rep>(sum / weights)) : m_load.settings().assumedServiceTime;
}

Duration PlacementPolicy::shortestWait(const Route &route) const
{
    std::optional<Duration> shortest;
    const Duration typicalService = typicalServiceTime(route);
    for (const auto &endpoint : route.endpoints) {
        const Duration wait = m_load.expectation(*endpoint, typicalService).wait;
        shortest = std::min(wait, shortest.value_or(wait));
    }
    return shortest.value_or(Duration(0));
}

bool PlacementPolicy::isBetter(const Candidate &left, const Candidate &right)
{
    return left.isEjected != right.isEjected ? right.isEjected : left.cost < right.cost;
}

} // namespace Fuchsiastep

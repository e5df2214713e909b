#include <LibRouting/UpstreamSelector.h>

#include <algorithm>

namespace Fuchsiastep {

// Usable upstreams among which the least loaded is chosen.
static constexpr std::size_t ChoiceCount = 2;

static PlacementPolicy::Settings placementSettings(const UpstreamSelector::Settings &settings)
{
    PlacementPolicy::Settings placements;
    placements.proxyId = settings.proxyId;
    placements.dataCentre = settings.dataCentre;
    placements.region = settings.region;
    placements.maximumProbes = settings.maximumProbes;
    placements.sampleSize = settings.sampleSize;
    return placements;
}

UpstreamSelector::UpstreamSelector(Settings settings, RoutingState &state, Random &random)
    : m_settings(std::move(settings))
    , m_state(state)
    , m_random(random)
    , m_placements(placementSettings(m_settings), state.load, state.ejections, state.ramp, random)
{ }

Result<Placement> UpstreamSelector::tryPlace(const std::shared_ptr<const Route> &route, const PlacementPolicy::Request &request)
{
    if (route->selector->rules.locality != LocalityPreference::Fastest) {
        const Result<std::shared_ptr<const Endpoint>> endpoint = trySelect(route, request.excluded);
        return isError(endpoint) ? Result<Placement>(errorOf(endpoint)) : Placement {valueOf(endpoint), std::nullopt};
    }
    const std::optional<Placement> placement = m_placements.choose(*route, request);
    return placement ? Result<Placement>(*placement) : Error {ErrorCode::NoUpstream, route->selector->service};
}

Duration UpstreamSelector::jitter(Duration limit)
{
    return m_random.jitter(limit);
}

Duration UpstreamSelector::shortestWait(const Route &route) const
{
    return m_placements.shortestWait(route);
}

Result<std::shared_ptr<const Endpoint>> UpstreamSelector::trySelect(
    const std::shared_ptr<const Route> &route, const std::vector<std::string> &excluded)
{
    m_probeCount = 0;
    const Index &index = indexOf(route);
    Candidate best;
    std::size_t begin = 0;
    for (const std::size_t end : index.tierEnds) {
        const Candidate candidate = chooseInTier(*route, index, begin, end, excluded);
        begin = end;
        if (candidate.quality > best.quality) {
            best = candidate;
        }
        if (best.quality == Quality::Usable) {
            break;
        }
    }
    if (best.quality == Quality::Excluded) {
        return Error {ErrorCode::NoUpstream, route->selector ? route->selector->service : std::string()};
    }
    return route->endpoints[best.position];
}

std::size_t UpstreamSelector::lastProbeCount() const
{
    return m_probeCount;
}

const UpstreamSelector::Index &UpstreamSelector::indexOf(const std::shared_ptr<const Route> &route)
{
    const auto known = m_indexes.find(route.get());
    // A new route may have the address of one that is gone.
    if (known != m_indexes.end() && !known->second.route.expired()) {
        return known->second;
    }
    if (known == m_indexes.end()) {
        m_indexOrder.push_back(route.get());
        if (m_indexOrder.size() > m_settings.maximumRoutes) {
            m_indexes.erase(m_indexOrder.front());
            m_indexOrder.pop_front();
        }
    }
    return m_indexes.insert_or_assign(route.get(), buildIndex(route)).first->second;
}

UpstreamSelector::Index UpstreamSelector::buildIndex(const std::shared_ptr<const Route> &route) const
{
    const LocalityPreference preference = route->selector ? route->selector->rules.locality : LocalityPreference::Nearest;
    std::array<std::vector<std::uint32_t>, 3> tiers;
    for (std::uint32_t position = 0; position < route->endpoints.size(); ++position) {
        const std::size_t tier = tierOf(*route->endpoints[position], preference);
        if (tier < tiers.size()) {
            tiers.at(tier).push_back(position);
        }
    }
    Index index {route, {}, {}};
    index.order.reserve(route->endpoints.size());
    for (std::size_t tier = 0; tier < tiers.size(); ++tier) {
        index.order.insert(index.order.end(), tiers.at(tier).begin(), tiers.at(tier).end());
        index.tierEnds.at(tier) = index.order.size();
    }
    return index;
}

std::size_t UpstreamSelector::tierOf(const Endpoint &endpoint, LocalityPreference preference) const
{
    constexpr std::size_t NoTier = 3;
    if (preference == LocalityPreference::Anywhere || endpoint.dataCentre == m_settings.dataCentre) {
        return 0;
    }
    if (preference == LocalityPreference::DataCentreOnly) {
        return NoTier;
    }
    return endpoint.region == m_settings.region ? 1 : 2;
}

UpstreamSelector::Candidate UpstreamSelector::probe(const Route &route, std::size_t position, const std::vector<std::string> &excluded)
{
    ++m_probeCount;
    const Endpoint &endpoint = *route.endpoints[position];
    Candidate candidate {&endpoint, position, Quality::Usable, 0};
    if (std::find(excluded.begin(), excluded.end(), endpoint.upstreamId) != excluded.end()) {
        candidate.quality = Quality::Excluded;
        return candidate;
    }
    candidate.load = m_state.load.load(endpoint);
    if (m_state.ejections.isEjected(endpoint)) {
        candidate.quality = Quality::Ejected;
    } else if (m_state.load.isFull(endpoint, m_state.ramp.share(endpoint))) {
        candidate.quality = Quality::Full;
    }
    return candidate;
}

UpstreamSelector::Candidate UpstreamSelector::chooseInTier(
    const Route &route, const Index &index, std::size_t begin, std::size_t end, const std::vector<std::string> &excluded)
{
    Candidate best;
    if (begin == end) {
        return best;
    }
    // A walk from a random place with a random stride visits distinct endpoints without keeping a list of them:
    // the stride is a prime that does not divide the size.
    static constexpr std::array<std::size_t, 8> Strides {1, 7919, 104729, 1299709, 15485863, 32452843, 49979687, 67867967};
    const std::size_t size = end - begin;
    std::size_t stride = Strides.at(m_random.below(Strides.size()));
    stride = stride % size == 0 ? 1 : stride % size;
    std::size_t offset = m_random.below(size);
    std::size_t usable = 0;
    std::optional<Candidate> cold;
    const std::size_t probes = std::min(size, m_settings.maximumProbes);
    for (std::size_t count = 0; count < probes && usable < ChoiceCount; ++count) {
        const Candidate candidate = probe(route, index.order[begin + offset], excluded);
        offset = (offset + stride) % size;
        if (candidate.quality == Quality::Usable) {
            if (!m_random.chance(m_state.ramp.share(*candidate.endpoint))) {
                // A cold upstream enters only a part of the choices that it is drawn for.
                cold = cold && isBetter(*cold, candidate) ? cold : candidate;
                continue;
            }
            ++usable;
        }
        if (isBetter(candidate, best)) {
            best = candidate;
        }
    }
    return cold && best.quality < Quality::Usable ? *cold : best;
}

bool UpstreamSelector::isBetter(const Candidate &left, const Candidate &right)
{
    return left.quality != right.quality ? left.quality > right.quality : left.load < right.load;
}

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Route.h>
#include <LibRouting/PlacementPolicy.h>
#include <LibRouting/RoutingState.h>

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fuchsiastep {

/// Chooses an upstream by power of two choices over the nearest endpoints of a route. The work for each request
/// is bounded; an index by locality is built once for each Route object.
class UpstreamSelector
{
public:
    struct Settings
    {
        std::string dataCentre;
        std::string region;
        std::string proxyId = {};
        /// Endpoints looked at in each locality tier at most.
        std::size_t maximumProbes = 64;
        /// See PlacementPolicy::Settings.
        std::size_t sampleSize = 0;
        /// Routes whose index is kept.
        std::size_t maximumRoutes = 2048;
    };

    UpstreamSelector(Settings settings, RoutingState &state, Random &random);

    /// An upstream that is not in \a excluded (upstream ids already tried). Where every endpoint is ejected or
    /// full, the better of what remains is chosen, because the proxy beside it sheds what it cannot take.
    /// Fails with NoUpstream.
    Result<std::shared_ptr<const Endpoint>> trySelect(const std::shared_ptr<const Route> &route, const std::vector<std::string> &excluded);

    /// The same for a request whose route prefers LocalityPreference::Fastest, with the wait that is acceptable there. Other
    /// routes accept any wait.
    Result<Placement> tryPlace(const std::shared_ptr<const Route> &route, const PlacementPolicy::Request &request);
    /// Shortest wait that a request of the route is expected to meet.
    Duration shortestWait(const Route &route) const;
    /// A duration in [0, limit], drawn from the random numbers of the proxy.
    Duration jitter(Duration limit);

    /// Endpoints looked at by the last call.
    std::size_t lastProbeCount() const;

private:
    enum class Quality {
        Excluded,
        Ejected,
        Full,
        Usable,
    };
    struct Candidate
    {
        const Endpoint *endpoint = nullptr;
        std::size_t position = 0;
        Quality quality = Quality::Excluded;
        double load = 0;
    };
    struct Index
    {
        std::weak_ptr<const Route> route;
        /// Positions in Route::endpoints, nearest first.
        std::vector<std::uint32_t> order;
        /// End of each tier in \c order: data centre, region, rest.
        std::array<std::size_t, 3> tierEnds {};
    };

    const Index &indexOf(const std::shared_ptr<const Route> &route);
    Index buildIndex(const std::shared_ptr<const Route> &route) const;
    std::size_t tierOf(const Endpoint &endpoint, LocalityPreference preference) const;
    Candidate probe(const Route &route, std::size_t position, const std::vector<std::string> &excluded);
    Candidate chooseInTier(
        const Route &route, const Index &index, std::size_t begin, std::size_t end, const std::vector<std::string> &excluded);
    static bool isBetter(const Candidate &left, const Candidate &right);

    Settings m_settings;
    RoutingState &m_state;
    Random &m_random;
    PlacementPolicy m_placements;
    std::unordered_map<const Route *, Index> m_indexes;
    std::deque<const Route *> m_indexOrder;
    std::size_t m_probeCount = 0;
};

} // namespace Fuchsiastep

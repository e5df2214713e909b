#include <LibRouting/WeightedSplit.h>

#include <algorithm>

namespace Fuchsiastep {

std::size_t WeightedSplit::next(const HostRoute &route)
{
    if (route.parts.size() < 2) {
        return 0;
    }
    if (m_rotations.size() >= MaximumRoutes) {
        m_rotations.clear();
    }
    Rotation &rotation = m_rotations[route.host + route.pathPrefix];
    if (rotation.parts != route.parts) {
        rotation = {route.parts, std::vector<std::int64_t>(route.parts.size(), 0)};
    }
    std::int64_t total = 0;
    for (std::size_t i = 0; i < route.parts.size(); ++i) {
        rotation.credits[i] += route.parts[i].weight;
        total += route.parts[i].weight;
    }
    const auto most = std::max_element(rotation.credits.begin(), rotation.credits.end());
    *most -= total;
    return static_cast<std::size_t>(most - rotation.credits.begin());
}

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/HostRoutes.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Splits the requests of a route among its parts by their weights. It rotates smoothly rather than by chance, so that
/// shares are met over short spans: of weights 3 and 1, every fourth request goes to the second part.
class WeightedSplit
{
public:
    /// Routes whose position in the rotation is kept; beyond that all start anew.
    static constexpr std::size_t MaximumRoutes = 65536;

    /// The position in HostRoute::parts of the part that takes the next request. The route has at least one part.
    std::size_t next(const HostRoute &route);

private:
    struct Rotation
    {
        std::vector<HostRoutePart> parts;
        std::vector<std::int64_t> credits;
    };

    std::map<std::string, Rotation> m_rotations;
};

} // namespace Fuchsiastep

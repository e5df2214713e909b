#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Fuchsiastep {

struct FleetOptions
{
    /// Folder of the programs.
    std::string programFolder;
    /// Number of proxies; 0 for one beside each upstream of the plan. Those beyond the upstreams have none.
    std::size_t proxies = 0;
    bool hasUpstreams = true;
    /// Puts a forwarder between each data centre and the platform, so that it can be cut off.
    bool hasLinks = false;
    std::uint64_t seed = 1;
};

} // namespace Fuchsiastep

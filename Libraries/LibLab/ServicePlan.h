#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Fuchsiastep {

/// A service of a deployment and its emulated upstreams, which are spread over the data centres in turn.
struct ServicePlan
{
    std::string name;
    std::uint32_t upstreams = 1;
    std::uint32_t slots = 6;
    std::uint32_t connections = 130;
    std::uint32_t serviceTimeMs = 2;
    std::uint32_t coldStartMs = 0;
    /// Labels that each upstream announces.
    std::map<std::string, std::string> labels;
};

} // namespace Fuchsiastep

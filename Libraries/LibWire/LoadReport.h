#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// Load of one upstream as the proxy beside it sees it.
struct LoadReport
{
    std::uint32_t slots = 0;
    std::uint32_t slotsInUse = 0;
    std::uint32_t queued = 0;
    /// Load that the upstream reports itself, in thousandths of its capacity.
    std::uint32_t reportedPermille = 0;
    /// Mean time of the recent runs; 0 where there were none.
    std::uint32_t serviceMs = 0;
    /// Recent share of runs that failed, in thousandths.
    std::uint32_t failurePermille = 0;
    /// Time until a further large answer could begin to leave the instance.
    std::uint32_t transferMs = 0;

    bool operator==(const LoadReport &) const = default;
};

} // namespace Fuchsiastep

#pragma once

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// What a member tells the coordinator of its data centre, or one coordinator another.
struct FleetReportFrame
{
    /// Comes back in the FleetReplyFrame.
    std::uint64_t sequence = 0;
    /// The sender is the coordinator of another data centre.
    bool isBetweenDataCentres = false;
    /// Encoded list of FleetSection.
    std::string sections;

    bool operator==(const FleetReportFrame &) const = default;
};

} // namespace Fuchsiastep

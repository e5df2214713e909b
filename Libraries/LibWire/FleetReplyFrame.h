#pragma once

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// The answer to a FleetReportFrame.
struct FleetReplyFrame
{
    /// That of the report.
    std::uint64_t sequence = 0;
    /// Encoded list of FleetSection.
    std::string sections;

    bool operator==(const FleetReplyFrame &) const = default;
};

} // namespace Fuchsiastep

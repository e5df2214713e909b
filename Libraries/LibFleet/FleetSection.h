#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// Subjects of the fleet exchange. The numbers are on the wire.
enum class FleetTopic : std::uint8_t {
    Freshness = 1,
    Allowances = 2,
    Rollouts = 3,
};

/// "freshness", "allowances" or "rollouts"; "unknown" for a number of a later version.
std::string_view nameOf(FleetTopic topic);

/// What a report or a reply has for one topic.
struct FleetSection
{
    FleetTopic topic = FleetTopic::Freshness;
    /// Encoded by the topic.
    std::string content;

    bool operator==(const FleetSection &) const = default;
};

std::string encodeFleetSections(const std::vector<FleetSection> &sections);
/// Fails with FrameMalformed. Topics that this version does not know are returned as they are.
Result<std::vector<FleetSection>> tryDecodeFleetSections(std::string_view bytes);

} // namespace Fuchsiastep

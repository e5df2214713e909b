#include <LibFleet/FleetSection.h>

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>
#include <LibWire/LibWire.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace Fuchsiastep {

static constexpr std::array<std::pair<FleetTopic, std::string_view>, 3> TopicNames {{
    {FleetTopic::Freshness, "freshness"},
    {FleetTopic::Allowances, "allowances"},
    {FleetTopic::Rollouts, "rollouts"},
}};

std::string_view nameOf(FleetTopic topic)
{
    const auto found = std::find_if(TopicNames.begin(), TopicNames.end(), [topic](const auto &entry) { return entry.first == topic; });
    return found == TopicNames.end() ? "unknown" : found->second;
}

std::string encodeFleetSections(const std::vector<FleetSection> &sections)
{
    MsgpackWriter writer;
    writer.beginArray(sections.size());
    for (const FleetSection &section : sections) {
        writer.beginArray(2);
        writer.putEnumerator(section.topic);
        writer.put(std::string_view(section.content));
    }
    return writer.take();
}

static FleetSection readSection(MsgpackReader &reader)
{
    FleetSection section;
    section.topic = static_cast<FleetTopic>(reader.takeUnsigned(std::numeric_limits<std::uint8_t>::max()));
    section.content = reader.takeString();
    return section;
}

Result<std::vector<FleetSection>> tryDecodeFleetSections(std::string_view bytes)
{
    std::vector<FleetSection> sections;
    const bool isValid = readMsgpack(bytes, MaximumFrameBytes, [&](MsgpackReader &reader) {
        while (reader.hasMore()) {
            sections.push_back(reader.takeNested(readSection));
        }
    });
    if (!isValid) {
        return Error {ErrorCode::FrameMalformed, "sections of the fleet exchange"};
    }
    return sections;
}

} // namespace Fuchsiastep

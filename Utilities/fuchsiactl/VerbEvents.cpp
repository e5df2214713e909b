#include <LibCore/LogEvent.h>
#include <fuchsiactl/TextTable.h>
#include <fuchsiactl/Verbs.h>

#include <array>

namespace Fuchsiastep::ControlTool {

static std::string_view nameOf(LogLevel level)
{
    static constexpr std::array<std::string_view, 4> Names {"debug", "info", "warning", "error"};
    return Names.at(static_cast<std::size_t>(level));
}

Result<ExitCode> tryRunEvents(const VerbContext &context, const Arguments &)
{
    TextTable table({"EVENT", "NAME", "LEVEL", "MEANING"});
    JsonValue::Array list;
    for (const LogEventInfo &info : logEventTable()) {
        const auto number = static_cast<std::int64_t>(info.event);
        const std::string_view level = nameOf(info.level);
        table.add({std::to_string(number), std::string(info.name), std::string(level), std::string(info.description)});
        list.push_back(JsonValue::Object {{"event", number}, {"name", info.name}, {"level", level}, {"description", info.description}});
    }
    context.output.print(table.toText(), JsonValue::Object {{"events", std::move(list)}});
    return ExitCode::Success;
}

} // namespace Fuchsiastep::ControlTool

#include <LibCore/ErrorCode.h>
#include <fuchsiactl/TextTable.h>
#include <fuchsiactl/Verbs.h>

namespace Fuchsiastep::ControlTool {

Result<ExitCode> tryRunCodes(const VerbContext &context, const Arguments &)
{
    TextTable table({"CODE", "NAME", "HTTP", "MEANING"});
    JsonValue::Array list;
    for (const ErrorCodeInfo &info : errorCodeTable()) {
        const auto number = static_cast<std::int64_t>(info.code);
        table.add({std::to_string(number), std::string(info.name), std::to_string(info.httpStatus), std::string(info.description)});
        list.push_back(JsonValue::Object {
            {"code", number}, {"name", info.name}, {"http_status", std::int64_t {info.httpStatus}}, {"description", info.description}});
    }
    context.output.print(table.toText(), JsonValue::Object {{"codes", std::move(list)}});
    return ExitCode::Success;
}

} // namespace Fuchsiastep::ControlTool

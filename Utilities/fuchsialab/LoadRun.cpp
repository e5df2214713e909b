#include "LoadRun.h"

namespace Fuchsiastep {

Result<JsonValue> tryRunLoadGenerator(const std::string &programFolder, std::vector<std::string> arguments)
{
    constexpr Duration Limit = std::chrono::minutes(5);
    arguments.emplace_back("--json");
    const Result<std::unique_ptr<ToolRun>> run = ToolRun::tryStart({programFolder + "/fuchsiaload", std::move(arguments), {}});
    if (isError(run)) {
        return errorOf(run);
    }
    if (!valueOf(run)->waitUntilDone(Limit)) {
        return Error {ErrorCode::WaitTimeout, "fuchsiaload did not end"};
    }
    return JsonValue::tryParse(valueOf(run)->output());
}

double numberAt(const JsonValue &value, std::initializer_list<const char *> path)
{
    const JsonValue *current = &value;
    for (const char *name : path) {
        const auto *object = std::get_if<JsonValue::Object>(&current->content);
        const auto member = object != nullptr ? object->find(name) : JsonValue::Object::const_iterator();
        if (object == nullptr || member == object->end()) {
            return 0;
        }
        current = &member->second;
    }
    if (const auto *whole = std::get_if<std::int64_t>(&current->content)) {
        return static_cast<double>(*whole);
    }
    const auto *number = std::get_if<double>(&current->content);
    return number != nullptr ? *number : 0;
}

} // namespace Fuchsiastep

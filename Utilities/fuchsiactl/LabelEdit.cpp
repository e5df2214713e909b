#include <fuchsiactl/LabelEdit.h>

#include <set>

namespace Fuchsiastep::ControlTool {

static Result<Done> tryApplyEdit(JsonValue::Object &labels, const std::string &edit, std::set<std::string> &edited)
{
    const std::size_t equals = edit.find('=');
    const bool isRemoval = equals == std::string::npos && edit.ends_with('-');
    const std::string key = isRemoval ? edit.substr(0, edit.size() - 1) : edit.substr(0, equals);
    if (key.empty() || (equals == std::string::npos && !isRemoval)) {
        return Error {ErrorCode::CommandLineInvalid, "'" + edit + "' is not KEY=VALUE or KEY-"};
    }
    if (!edited.insert(key).second) {
        return Error {ErrorCode::CommandLineInvalid, "label " + key + " is given twice"};
    }
    if (!isRemoval) {
        labels[key] = edit.substr(equals + 1);
    } else if (labels.erase(key) == 0) {
        return Error {ErrorCode::CommandLineInvalid, "there is no label " + key};
    }
    return Done {};
}

Result<JsonValue> tryEditLabels(const JsonValue &object, std::span<const std::string> edits)
{
    const auto *members = std::get_if<JsonValue::Object>(&object.content);
    if (members == nullptr) {
        return Error {ErrorCode::JsonMalformed, "the object is not a JSON object"};
    }
    JsonValue::Object result = *members;
    JsonValue::Object labels;
    const auto found = result.find("labels");
    if (found != result.end() && std::holds_alternative<JsonValue::Object>(found->second.content)) {
        labels = std::get<JsonValue::Object>(found->second.content);
    }
    std::set<std::string> edited;
    for (const std::string &edit : edits) {
        const Result<Done> done = tryApplyEdit(labels, edit, edited);
        if (isError(done)) {
            return errorOf(done);
        }
    }
    result["labels"] = std::move(labels);
    return JsonValue(std::move(result));
}

} // namespace Fuchsiastep::ControlTool

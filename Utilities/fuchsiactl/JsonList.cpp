#include <fuchsiactl/JsonList.h>

namespace Fuchsiastep::ControlTool {

const JsonValue::Array &listOf(const JsonValue &object, const std::string &name)
{
    static const JsonValue::Array Empty;
    const auto *members = std::get_if<JsonValue::Object>(&object.content);
    if (members == nullptr) {
        return Empty;
    }
    const auto found = members->find(name);
    const auto *list = found == members->end() ? nullptr : std::get_if<JsonValue::Array>(&found->second.content);
    return list != nullptr ? *list : Empty;
}

} // namespace Fuchsiastep::ControlTool

#include <fuchsiactl/FieldList.h>

namespace Fuchsiastep::ControlTool {

static void collect(const JsonValue &value, const std::string &path, std::map<std::string, std::string> &fields)
{
    const auto *object = std::get_if<JsonValue::Object>(&value.content);
    if (object == nullptr) {
        fields[path] = value.toText();
        return;
    }
    for (const auto &[name, member] : *object) {
        std::string memberPath = path;
        if (!path.empty()) {
            memberPath += '.';
        }
        memberPath += name;
        collect(member, memberPath, fields);
    }
}

std::map<std::string, std::string> listFields(const JsonValue &value)
{
    std::map<std::string, std::string> fields;
    collect(value, "", fields);
    return fields;
}

std::string fieldText(const JsonValue &object, const std::string &name)
{
    const auto *members = std::get_if<JsonValue::Object>(&object.content);
    if (members == nullptr) {
        return {};
    }
    const auto found = members->find(name);
    if (found == members->end()) {
        return {};
    }
    const auto *text = std::get_if<std::string>(&found->second.content);
    return text != nullptr ? *text : found->second.toText();
}

} // namespace Fuchsiastep::ControlTool

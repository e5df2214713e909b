#include <fuchsiactl/Difference.h>

#include <fuchsiactl/FieldList.h>

namespace Fuchsiastep::ControlTool {

static std::string describeField(const std::string &path, const std::string &before, const std::string &after)
{
    std::string line = path;
    line.append(": ").append(before).append(" -> ").append(after);
    return line;
}

static std::vector<std::string> compareFields(const JsonValue &before, const JsonValue &after)
{
    constexpr const char *Absent = "(absent)";
    const std::map<std::string, std::string> oldFields = listFields(before);
    const std::map<std::string, std::string> newFields = listFields(after);
    std::vector<std::string> lines;
    for (const auto &[path, text] : oldFields) {
        const auto found = newFields.find(path);
        if (found == newFields.end() || found->second != text) {
            lines.push_back(describeField(path, text, found == newFields.end() ? Absent : found->second));
        }
    }
    for (const auto &[path, text] : newFields) {
        if (!oldFields.contains(path)) {
            lines.push_back(describeField(path, Absent, text));
        }
    }
    return lines;
}

Difference Difference::between(const ObjectSet &inForce, const ObjectSet &declared)
{
    Difference difference;
    for (const auto &[name, object] : declared) {
        const auto found = inForce.find(name);
        if (found == inForce.end()) {
            difference.added[name] = object;
        } else if (!(found->second == object)) {
            difference.changed[name] = object;
            difference.changedFields[name] = compareFields(found->second, object);
        }
    }
    for (const auto &[name, object] : inForce) {
        if (!declared.contains(name)) {
            difference.undeclared.push_back(name);
        }
    }
    return difference;
}

bool Difference::isEmpty(bool isPruning) const
{
    return added.empty() && changed.empty() && (!isPruning || undeclared.empty());
}

std::string Difference::toText(bool isPruning) const
{
    std::string text;
    for (const auto &[name, object] : added) {
        text += "+ " + ControlTool::toText(name) + '\n';
    }
    for (const auto &[name, lines] : changedFields) {
        text += "~ " + ControlTool::toText(name) + '\n';
        for (const std::string &line : lines) {
            text += "    " + line + '\n';
        }
    }
    for (const ObjectName &name : undeclared) {
        text += (isPruning ? "- " : "  ") + ControlTool::toText(name)
            + (isPruning ? "\n" : " is in force and not declared; --prune removes it\n");
    }
    return text;
}

JsonValue Difference::toJson(bool isPruning) const
{
    JsonValue::Array names;
    for (const ObjectName &name : undeclared) {
        names.push_back(JsonValue::Object {{"kind", objectKindInfo(name.kind).name}, {"name", name.name}});
    }
    return JsonValue::Object {
        {"empty", isEmpty(isPruning)},
        {"added", toDocument(added)},
        {"changed", toDocument(changed)},
        {"undeclared", std::move(names)},
        {"prune", isPruning},
    };
}

} // namespace Fuchsiastep::ControlTool

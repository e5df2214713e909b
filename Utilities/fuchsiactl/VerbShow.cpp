#include <fuchsiactl/FieldList.h>
#include <fuchsiactl/ObjectSet.h>
#include <fuchsiactl/TextTable.h>
#include <fuchsiactl/Verbs.h>

namespace Fuchsiastep::ControlTool {

static std::string describeFields(const JsonValue &object, std::string_view nameField)
{
    std::string text;
    for (const auto &[path, value] : listFields(object)) {
        const bool isEmpty = value == "{}" || value == "[]";
        if (path != nameField && !isEmpty) {
            text.append(text.empty() ? "" : " ").append(path).append("=").append(value);
        }
    }
    return text;
}

static std::string listObjects(const ObjectSet &objects)
{
    TextTable table({"KIND", "NAME", "FIELDS"});
    for (const auto &[name, object] : objects) {
        const ObjectKindInfo &info = objectKindInfo(name.kind);
        table.add({std::string(info.name), name.name, describeFields(object, info.nameField)});
    }
    return table.toText();
}

Result<ExitCode> tryRunShow(const VerbContext &context, const Arguments &arguments)
{
    std::optional<ObjectKind> kind;
    if (!arguments.empty()) {
        const Result<ObjectKind> parsed = tryParseObjectKind(arguments[0]);
        if (isError(parsed)) {
            return errorOf(parsed);
        }
        kind = valueOf(parsed);
    }
    Result<ObjectsInForce> answer = tryReadObjectsInForce(context.control);
    if (isError(answer)) {
        return errorOf(answer);
    }
    ObjectsInForce inForce = valueOf(std::move(answer));
    if (arguments.size() == 2) {
        const auto found = inForce.objects.find({*kind, arguments[1]});
        if (found == inForce.objects.end()) {
            return Error {ErrorCode::ObjectMissing, toText({*kind, arguments[1]})};
        }
        context.output.print(found->second.toText(true) + '\n', found->second);
        return ExitCode::Success;
    }
    std::erase_if(inForce.objects, [&kind](const auto &item) { return kind && item.first.kind != *kind; });
    JsonValue::Object document = toDocument(inForce.objects);
    document["version"] = inForce.version;
    context.output.print("version " + std::to_string(inForce.version) + '\n' + listObjects(inForce.objects), document);
    return ExitCode::Success;
}

} // namespace Fuchsiastep::ControlTool

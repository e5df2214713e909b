#include <fuchsiactl/ObjectSet.h>

#include <LibCore/JsonObjectReader.h>

#include <limits>

namespace Fuchsiastep::ControlTool {

Result<ObjectSet> tryReadObjectSet(const JsonValue &document)
{
    ObjectSet objects;
    std::vector<Error> errors;
    JsonObjectReader reader(document, "$", errors);
    for (const ObjectKindInfo &info : ObjectKinds) {
        const JsonValue::Array *list = reader.optionalArray(info.list);
        for (std::size_t index = 0; list != nullptr && index < list->size(); ++index) {
            const std::string path = reader.pathOf(info.list) + '[' + std::to_string(index) + ']';
            JsonObjectReader item(list->at(index), path, errors);
            objects[{info.kind, item.requiredString(info.nameField)}] = list->at(index);
        }
    }
    if (!errors.empty()) {
        return Error {ErrorCode::JsonMalformed, errors.front().detail};
    }
    return objects;
}

JsonValue::Object toDocument(const ObjectSet &objects)
{
    JsonValue::Object document;
    for (const ObjectKindInfo &info : ObjectKinds) {
        JsonValue::Array list;
        for (const auto &[name, object] : objects) {
            if (name.kind == info.kind) {
                list.push_back(object);
            }
        }
        // Proxies of earlier versions know no workspaces.
        if (info.kind != ObjectKind::Workspace || !list.empty()) {
            document[std::string(info.list)] = std::move(list);
        }
    }
    return document;
}

Result<ObjectsInForce> tryReadObjectsInForce(ControlPoint &control)
{
    const Result<JsonValue> answer = control.tryRead("/v1/operator/objects");
    if (isError(answer)) {
        return errorOf(answer);
    }
    std::vector<Error> errors;
    JsonObjectReader reader(valueOf(answer), "$", errors);
    ObjectsInForce inForce;
    inForce.version = static_cast<std::uint64_t>(reader.requiredInteger("version", 0, std::numeric_limits<std::int64_t>::max()));
    if (!errors.empty()) {
        return Error {ErrorCode::JsonMalformed, errors.front().detail};
    }
    Result<ObjectSet> objects = tryReadObjectSet(valueOf(answer));
    if (isError(objects)) {
        return errorOf(objects);
    }
    inForce.objects = valueOf(std::move(objects));
    return inForce;
}

} // namespace Fuchsiastep::ControlTool

#include <fuchsiactl/Change.h>

#include <glib.h>

namespace Fuchsiastep::ControlTool {

static std::string randomOperation()
{
    gchar *uuid = g_uuid_string_random();
    std::string operation = uuid;
    g_free(uuid);
    return operation;
}

Change Change::from(const Options &options, std::uint64_t baseVersion)
{
    Change change;
    change.operation = options.operation.empty() ? randomOperation() : options.operation;
    change.operatorName = options.operatorName;
    change.comment = options.comment;
    change.baseVersion = baseVersion;
    return change;
}

JsonValue Change::toJson() const
{
    JsonValue::Array removal;
    for (const ObjectName &name : removed) {
        removal.push_back(JsonValue::Object {{"kind", objectKindInfo(name.kind).name}, {"name", name.name}});
    }
    return JsonValue::Object {
        {"operation", operation},
        {"operator", operatorName},
        {"comment", comment},
        {"base_version", baseVersion},
        {"store", toDocument(stored)},
        {"remove", std::move(removal)},
    };
}

} // namespace Fuchsiastep::ControlTool

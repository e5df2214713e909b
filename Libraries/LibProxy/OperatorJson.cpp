#include <LibProxy/OperatorJson.h>

#include <utility>

namespace Fuchsiastep {

JsonValue toJson(const Configuration &configuration)
{
    JsonValue body = Declarations::of(configuration).toJson();
    auto &members = std::get<JsonValue::Object>(body.content);
    members["version"] = configuration.version();
    members["digest"] = configuration.digest().toHex();
    return body;
}

static JsonValue toJson(const AuditEntry &entry)
{
    JsonValue::Array changes;
    for (const AuditedChange &change : entry.changes) {
        changes.push_back(JsonValue::Object {
            {"action", changeActionName(change.action)}, {"kind", objectKindName(change.name.kind)}, {"name", change.name.name}});
    }
    return JsonValue::Object {
        {"version", entry.version},
        {"operation", entry.operationId},
        {"operator", entry.operatorName},
        {"unix_ms", entry.unixMilliseconds},
        {"comment", entry.comment},
        {"changes", std::move(changes)},
    };
}

JsonValue toJson(const AuditLog &log)
{
    JsonValue::Array entries;
    for (const AuditEntry &entry : log.entries) {
        entries.push_back(toJson(entry));
    }
    JsonValue::Array unreadable;
    for (const Error &error : log.unreadable) {
        unreadable.push_back(describe(error));
    }
    return JsonValue::Object {{"entries", std::move(entries)}, {"unreadable", std::move(unreadable)}};
}

JsonValue toJson(ConfigurationVersion version, const std::vector<std::shared_ptr<const Route>> &routes)
{
    JsonValue::Array list;
    for (const std::shared_ptr<const Route> &route : routes) {
        JsonValue::Array upstreams;
        for (const std::shared_ptr<const Endpoint> &endpoint : route->endpoints) {
            upstreams.push_back(endpoint->upstreamId);
        }
        list.push_back(JsonValue::Object {{"selector", route->selector->name}, {"upstreams", std::move(upstreams)}});
    }
    return JsonValue::Object {{"version", version}, {"routes", std::move(list)}};
}

} // namespace Fuchsiastep

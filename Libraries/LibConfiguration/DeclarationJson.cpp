#include <LibConfiguration/DeclarationJson.h>

#include <LibConfiguration/ObjectValidation.h>
#include <LibConfiguration/RuleNames.h>
#include <LibCore/JsonObjectReader.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace Fuchsiastep {

using Milliseconds = std::chrono::milliseconds;

static std::int64_t millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

static void reportField(std::vector<Error> &errors, const std::string &path, const std::string &text)
{
    errors.push_back({ErrorCode::DeclarationMalformed, path + ": " + text});
}

static RouteRules readRules(const JsonValue &value, const std::string &path, std::vector<Error> &errors)
{
    RouteRules rules;
    JsonObjectReader reader(value, path, errors);
    rules.timeout = Milliseconds(reader.optionalInteger("timeout_ms", millisecondsOf(rules.timeout), MinimumTimeoutMs, MaximumTimeoutMs));
    if (reader.has("repeatable_methods")) {
        rules.repeatableMethods = reader.optionalStrings("repeatable_methods");
    }
    rules.isKeyRequired = reader.optionalBool("key_required", rules.isKeyRequired);
    rules.maximumRetries = static_cast<std::uint32_t>(reader.optionalInteger("retries", rules.maximumRetries, 0, MaximumRetryCount));
    const auto priority = priorityFromName(reader.optionalString("priority", std::string(priorityName(rules.priority))));
    if (!priority) {
        reportField(errors, reader.pathOf("priority"), "must be \"low\", \"normal\" or \"high\"");
    }
    rules.priority = priority.value_or(rules.priority);
    const auto locality = localityFromName(reader.optionalString("locality", std::string(localityName(rules.locality))));
    if (!locality) {
        reportField(errors, reader.pathOf("locality"), "must be \"nearest\", \"data-centre-only\", \"anywhere\" or \"fastest\"");
    }
    rules.locality = locality.value_or(rules.locality);
    rules.targetLatency = Milliseconds(reader.optionalInteger("target_ms", 0, 0, MaximumTimeoutMs));
    const auto repeatability =
        repeatabilityFromName(reader.optionalString("repeatability", std::string(repeatabilityName(rules.repeatability))));
    if (!repeatability) {
        reportField(errors, reader.pathOf("repeatability"), "must be \"by-method\", \"always\" or \"never\"");
    }
    rules.repeatability = repeatability.value_or(rules.repeatability);
    rules.isPublic = reader.optionalBool("public", rules.isPublic);
    reader.finish();
    return rules;
}

static ServiceDeclaration readService(JsonObjectReader &reader)
{
    ServiceDeclaration service;
    service.name = reader.requiredString("name");
    service.labels = reader.optionalLabels("labels");
    return service;
}

static UpstreamLabels readUpstream(JsonObjectReader &reader)
{
    UpstreamLabels upstream;
    upstream.upstreamId = reader.requiredString("id");
    upstream.service = reader.requiredString("service");
    upstream.labels = reader.optionalLabels("labels");
    return upstream;
}

static Selector readSelector(JsonObjectReader &reader, std::vector<Error> &errors)
{
    Selector selector;
    selector.name = reader.requiredString("name");
    selector.callers = reader.optionalLabels("callers");
    selector.service = reader.requiredString("service");
    selector.upstreams = reader.optionalLabels("upstreams");
    selector.methods = reader.optionalStrings("methods");
    selector.pathPrefix = reader.optionalString("path_prefix", selector.pathPrefix);
    selector.precedence = static_cast<std::int32_t>(reader.optionalInteger("precedence", 0, -MaximumPrecedence, MaximumPrecedence));
    selector.host = reader.optionalString("host");
    selector.weight = static_cast<std::uint32_t>(reader.optionalInteger("weight", selector.weight, 0, MaximumWeight));
    if (const JsonValue *rules = reader.optionalValue("rules")) {
        selector.rules = readRules(*rules, reader.pathOf("rules"), errors);
    }
    return selector;
}

static std::vector<Digest> readKeys(JsonObjectReader &reader, std::vector<Error> &errors)
{
    std::vector<Digest> keys;
    for (const std::string &text : reader.optionalStrings("keys")) {
        const std::optional<Digest> key = Digest::fromHex(text);
        if (!key) {
            // The text is not repeated: it may be a key by mistake.
            reportField(errors, reader.pathOf("keys"), "must be SHA-256 digests of 64 hexadecimal digits");
            return {};
        }
        keys.push_back(*key);
    }
    std::sort(keys.begin(), keys.end(), [](const Digest &left, const Digest &right) { return left.lanes < right.lanes; });
    return keys;
}

static Workspace readWorkspace(JsonObjectReader &reader, std::vector<Error> &errors)
{
    constexpr double Thousand = 1000;
    Workspace workspace;
    workspace.name = reader.requiredString("name");
    workspace.keys = readKeys(reader, errors);
    if (reader.has("priority")) {
        workspace.priority = priorityFromName(reader.requiredString("priority"));
        if (!workspace.priority) {
            reportField(errors, reader.pathOf("priority"), "must be \"low\", \"normal\" or \"high\"");
        }
    }
    const double rate = reader.optionalNumber("rate_per_second", 0, 0, MaximumRequestRate);
    workspace.milliRequestsPerSecond = static_cast<std::uint64_t>(std::ceil(rate * Thousand));
    workspace.burst = static_cast<std::uint64_t>(reader.optionalInteger("burst", 0, 0, MaximumRequestRate));
    return workspace;
}

DeclaredObject readObject(ObjectKind kind, const JsonValue &value, const std::string &path, std::vector<Error> &errors)
{
    std::vector<Error> found;
    JsonObjectReader reader(value, path, found);
    DeclaredObject object;
    switch (kind) {
    case ObjectKind::Service:
        object = readService(reader);
        break;
    case ObjectKind::Upstream:
        object = readUpstream(reader);
        break;
    case ObjectKind::Selector:
        object = readSelector(reader, found);
        break;
    case ObjectKind::Workspace:
        object = readWorkspace(reader, found);
        break;
    }
    reader.finish();
    if (found.empty()) {
        for (const FieldProblem &problem : problemsOf(object)) {
            reportField(found, path + '.' + problem.path, problem.text);
        }
    }
    const std::string name = nameOf(object).toString();
    for (const Error &error : found) {
        errors.push_back({ErrorCode::DeclarationMalformed, name + ": " + error.detail});
    }
    return object;
}

static JsonValue labelsToJson(const Labels &labels)
{
    JsonValue::Object members;
    for (const auto &[name, value] : labels) {
        members.emplace(name, value);
    }
    return members;
}

static JsonValue stringsToJson(const std::vector<std::string> &strings)
{
    return JsonValue::Array(strings.begin(), strings.end());
}

static JsonValue rulesToJson(const RouteRules &rules)
{
    return JsonValue::Object {
        {"timeout_ms", millisecondsOf(rules.timeout)},
        {"repeatable_methods", stringsToJson(rules.repeatableMethods)},
        {"key_required", rules.isKeyRequired},
        {"retries", static_cast<std::int64_t>(rules.maximumRetries)},
        {"priority", priorityName(rules.priority)},
        {"locality", localityName(rules.locality)},
        {"target_ms", millisecondsOf(rules.targetLatency)},
        {"repeatability", repeatabilityName(rules.repeatability)},
        {"public", rules.isPublic},
    };
}

static JsonValue workspaceToJson(const Workspace &workspace)
{
    JsonValue::Array keys;
    for (const Digest &key : workspace.keys) {
        keys.emplace_back(key.toHex());
    }
    JsonValue::Object object {
        {"name", workspace.name},
        {"keys", std::move(keys)},
        {"rate_per_second", workspace.requestsPerSecond()},
        {"burst", workspace.burst},
    };
    if (workspace.priority) {
        object.emplace("priority", priorityName(*workspace.priority));
    }
    return object;
}

JsonValue toJson(const DeclaredObject &object)
{
    return std::visit(Overloaded {
                          [](const ServiceDeclaration &service) -> JsonValue {
                              return JsonValue::Object {{"name", service.name}, {"labels", labelsToJson(service.labels)}};
                          },
                          [](const UpstreamLabels &upstream) -> JsonValue {
                              return JsonValue::Object {
                                  {"id", upstream.upstreamId}, {"service", upstream.service}, {"labels", labelsToJson(upstream.labels)}};
                          },
                          [](const Selector &selector) -> JsonValue {
                              return JsonValue::Object {
                                  {"name", selector.name},
                                  {"callers", labelsToJson(selector.callers)},
                                  {"service", selector.service},
                                  {"upstreams", labelsToJson(selector.upstreams)},
                                  {"methods", stringsToJson(selector.methods)},
                                  {"path_prefix", selector.pathPrefix},
                                  {"precedence", static_cast<std::int64_t>(selector.precedence)},
                                  {"host", selector.host},
                                  {"weight", static_cast<std::int64_t>(selector.weight)},
                                  {"rules", rulesToJson(selector.rules)},
                              };
                          },
                          [](const Workspace &workspace) -> JsonValue { return workspaceToJson(workspace); },
                      },
        object);
}

std::string_view declarationKey(ObjectKind kind)
{
    static constexpr std::array<std::string_view, 4> Keys {"services", "upstreams", "selectors", "workspaces"};
    return Keys.at(static_cast<std::size_t>(kind));
}

} // namespace Fuchsiastep

#include <LibProxy/OperatorChangeParser.h>

#include <LibCore/LibCore.h>

#include <limits>

namespace Fuchsiastep {

static Result<ObjectName> tryParseName(const JsonValue &value, const std::string &path)
{
    std::vector<Error> errors;
    JsonObjectReader reader(value, path, errors);
    const std::string kind = reader.requiredString("kind");
    ObjectName name;
    name.name = reader.requiredString("name");
    reader.finish();
    if (!errors.empty()) {
        return Error {ErrorCode::OperatorRequestMalformed, errors.front().detail};
    }
    const std::optional<ObjectKind> parsedKind = objectKindFromName(kind);
    if (!parsedKind) {
        return Error {ErrorCode::OperatorRequestMalformed, path + ".kind: must be service, upstream, selector or workspace"};
    }
    name.kind = *parsedKind;
    return name;
}

Result<OperatorChange> tryParseOperatorChange(std::string_view body)
{
    const Result<JsonValue> value = JsonValue::tryParse(body);
    if (isError(value)) {
        return Error {ErrorCode::OperatorRequestMalformed, errorOf(value).detail};
    }
    std::vector<Error> errors;
    JsonObjectReader reader(valueOf(value), "$", errors);
    OperatorChange change;
    change.operationId = reader.requiredString("operation");
    change.operatorName = reader.requiredString("operator");
    change.comment = reader.optionalString("comment");
    std::optional<ConfigurationVersion> baseVersion;
    if (reader.has("base_version")) {
        baseVersion =
            static_cast<ConfigurationVersion>(reader.optionalInteger("base_version", 0, 0, std::numeric_limits<std::int64_t>::max()));
    } else {
        reader.optionalValue("base_version");
    }
    const JsonValue *store = reader.optionalValue("store");
    const JsonValue::Array *remove = reader.optionalArray("remove");
    reader.finish();
    if (!errors.empty()) {
        return Error {ErrorCode::OperatorRequestMalformed, errors.front().detail};
    }
    if (store != nullptr) {
        Result<Declarations> declarations = Declarations::tryParse(store->toText(), "store");
        if (isError(declarations)) {
            return errorOf(declarations);
        }
        for (const auto &[name, object] : valueOf(declarations).objects()) {
            change.changes.push_back({name, object, std::nullopt, baseVersion});
        }
    }
    for (std::size_t i = 0; remove != nullptr && i < remove->size(); ++i) {
        Result<ObjectName> name = tryParseName((*remove)[i], "$.remove[" + std::to_string(i) + ']');
        if (isError(name)) {
            return errorOf(name);
        }
        change.changes.push_back({valueOf(name), std::nullopt, std::nullopt, baseVersion});
    }
    return change;
}

} // namespace Fuchsiastep

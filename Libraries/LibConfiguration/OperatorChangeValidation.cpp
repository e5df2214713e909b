#include <LibConfiguration/OperatorChangeValidation.h>

#include <LibConfiguration/ObjectValidation.h>

#include <algorithm>
#include <set>

namespace Fuchsiastep {

static constexpr std::size_t MaximumIdentifierLength = 128;
static constexpr std::size_t MaximumCommentLength = 1024;

static bool isIdentifierCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

static Error malformed(std::string text)
{
    return {ErrorCode::OperatorRequestMalformed, std::move(text)};
}

static Result<Done> tryValidateHeader(const OperatorChange &change)
{
    const std::string &id = change.operationId;
    if (id.empty() || id.size() > MaximumIdentifierLength || !std::all_of(id.begin(), id.end(), isIdentifierCharacter)) {
        return malformed("operation id: must be 1 to 128 characters of A-Z, a-z, 0-9, '.', '_' and '-'");
    }
    if (change.operatorName.empty() || change.operatorName.size() > MaximumIdentifierLength) {
        return malformed("operator: must be 1 to 128 bytes");
    }
    if (change.comment.size() > MaximumCommentLength) {
        return malformed("comment: must be at most 1024 bytes");
    }
    if (change.changes.empty()) {
        return Error {ErrorCode::ChangeEmpty, "the change names no object"};
    }
    return Done {};
}

static Result<Done> tryValidateObjectChange(const ObjectChange &change)
{
    if (!isValidName(change.name.name)) {
        return Error {ErrorCode::DeclarationMalformed, change.name.toString() + ": the name is not valid"};
    }
    if (!change.value) {
        return change.expectedRevision == ConfigurationVersion(0)
            ? Result<Done>(malformed(change.name.toString() + ": an object that must not exist cannot be removed"))
            : Result<Done>(Done {});
    }
    if (nameOf(*change.value) != change.name) {
        return malformed(change.name.toString() + ": the value belongs to " + nameOf(*change.value).toString());
    }
    return tryValidateObject(*change.value);
}

Result<Done> tryValidateChange(const OperatorChange &change)
{
    Result<Done> header = tryValidateHeader(change);
    if (isError(header)) {
        return header;
    }
    std::set<ObjectName> names;
    for (const ObjectChange &item : change.changes) {
        Result<Done> result = tryValidateObjectChange(item);
        if (isError(result)) {
            return result;
        }
        if (!names.insert(item.name).second) {
            return Error {ErrorCode::DuplicateObject, item.name.toString() + " is changed twice"};
        }
    }
    return Done {};
}

} // namespace Fuchsiastep

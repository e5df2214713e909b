#include <fuchsiactl/Member.h>

#include <LibCore/JsonObjectReader.h>

#include <limits>

namespace Fuchsiastep::ControlTool {

static std::uint64_t readVersion(JsonObjectReader &reader, std::string_view name)
{
    return static_cast<std::uint64_t>(reader.optionalInteger(name, 0, 0, std::numeric_limits<std::int64_t>::max()));
}

bool Member::isLive() const
{
    return state != "left" && state != "failed";
}

bool Member::isServing() const
{
    return state == "serving";
}

static Member readMember(JsonObjectReader &reader)
{
    Member member;
    member.proxy = reader.requiredString("proxy");
    member.dataCentre = reader.optionalString("data_centre");
    member.state = reader.requiredString("state");
    member.version = readVersion(reader, "version");
    const Result<SocketAddress> control = SocketAddress::tryParse(reader.optionalString("control"));
    if (!isError(control) && valueOf(control).port != 0) {
        member.control = valueOf(control);
    }
    return member;
}

Result<std::vector<Member>> tryReadMembers(const JsonValue &answer)
{
    std::vector<Error> errors;
    std::vector<Member> members;
    JsonObjectReader reader(answer, "$", errors);
    const JsonValue::Array *list = reader.optionalArray("members");
    for (std::size_t index = 0; list != nullptr && index < list->size(); ++index) {
        JsonObjectReader item(list->at(index), "$.members[" + std::to_string(index) + ']', errors);
        members.push_back(readMember(item));
    }
    if (!errors.empty() || list == nullptr) {
        return Error {ErrorCode::JsonMalformed, errors.empty() ? "$.members: missing" : errors.front().detail};
    }
    return members;
}

Result<MemberStatus> tryReadMemberStatus(const JsonValue &answer)
{
    std::vector<Error> errors;
    JsonObjectReader reader(answer, "$", errors);
    MemberStatus status;
    status.proxy = reader.requiredString("proxy");
    status.isReady = reader.optionalBool("ready", false);
    status.isDraining = reader.optionalBool("draining", false);
    status.version = readVersion(reader, "version");
    status.knownVersion = readVersion(reader, "known_version");
    if (!errors.empty()) {
        return Error {ErrorCode::JsonMalformed, errors.front().detail};
    }
    return status;
}

} // namespace Fuchsiastep::ControlTool

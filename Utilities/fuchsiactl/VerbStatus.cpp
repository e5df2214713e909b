#include <fuchsiactl/FleetStatus.h>
#include <fuchsiactl/Verbs.h>

namespace Fuchsiastep::ControlTool {

/// Asks every live member for its status. An answer from a proxy of another name does not count: the address was reused.
static std::vector<FleetStatus::Row> askMembers(ControlPoint &control, std::vector<Member> members)
{
    std::vector<FleetStatus::Row> rows;
    std::vector<SocketAddress> addresses;
    std::vector<std::size_t> asked;
    for (Member &member : members) {
        if (member.isLive() && member.control) {
            asked.push_back(rows.size());
            addresses.push_back(*member.control);
        }
        rows.push_back({std::move(member), {}});
    }
    const std::vector<Result<JsonValue>> answers = control.readFromAll(addresses, "/v1/operator/status");
    for (std::size_t index = 0; index < answers.size(); ++index) {
        if (isError(answers[index])) {
            continue;
        }
        const Result<MemberStatus> status = tryReadMemberStatus(valueOf(answers[index]));
        FleetStatus::Row &row = rows[asked[index]];
        if (!isError(status) && valueOf(status).proxy == row.member.proxy) {
            row.status = valueOf(status);
        }
    }
    return rows;
}

Result<ExitCode> tryRunStatus(const VerbContext &context, const Arguments &)
{
    const Result<JsonValue> answer = context.control.tryRead("/v1/operator/members");
    if (isError(answer)) {
        return errorOf(answer);
    }
    Result<std::vector<Member>> members = tryReadMembers(valueOf(answer));
    if (isError(members)) {
        return errorOf(members);
    }
    const FleetStatus fleet(askMembers(context.control, valueOf(std::move(members))));
    context.output.print(fleet.toText(), fleet.toJson());
    return fleet.isCurrent() ? ExitCode::Success : ExitCode::Failed;
}

} // namespace Fuchsiastep::ControlTool

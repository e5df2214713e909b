#include <fuchsiactl/WaitRun.h>

#include <fuchsiactl/OutputFormat.h>
#include <fuchsiactl/VersionWait.h>

#include <algorithm>

namespace Fuchsiastep::ControlTool {

static constexpr Duration PollInterval = std::chrono::milliseconds(100);
static constexpr std::size_t NamesInError = 5;

std::string WaitOutcome::toText(std::uint64_t version) const
{
    return "version " + std::to_string(version) + " is in force on " + std::to_string(proxies) + " proxies after " + secondsText(seconds);
}

static Error timeoutError(const VersionWait &wait, std::uint64_t version)
{
    const std::vector<Member> pending = wait.pending();
    std::string detail = "version " + std::to_string(version) + " is missing on " + std::to_string(pending.size()) + " of "
        + std::to_string(wait.liveCount()) + " proxies";
    for (std::size_t index = 0; index < std::min(pending.size(), NamesInError); ++index) {
        detail += (index == 0 ? ": " : ", ") + pending[index].proxy;
    }
    return {ErrorCode::WaitTimeout, detail + (pending.size() > NamesInError ? ", ..." : "")};
}

static void askPending(ControlPoint &control, VersionWait &wait)
{
    std::vector<SocketAddress> addresses;
    for (const Member &member : wait.pending()) {
        if (member.control) {
            addresses.push_back(*member.control);
        }
    }
    for (const Result<JsonValue> &answer : control.readFromAll(addresses, "/v1/operator/status")) {
        if (isError(answer)) {
            continue;
        }
        const Result<MemberStatus> status = tryReadMemberStatus(valueOf(answer));
        if (!isError(status)) {
            wait.seeStatus(valueOf(status));
        }
    }
}

Result<WaitOutcome> tryWaitForVersion(ControlPoint &control, std::uint64_t version)
{
    VersionWait wait(version);
    const Duration startedAt = control.elapsed();
    for (bool isFirstRound = true;; isFirstRound = false) {
        if (!isFirstRound) {
            if (control.timeLeft() == Duration(0)) {
                return timeoutError(wait, version);
            }
            control.pause(PollInterval);
        }
        const Result<JsonValue> answer = control.tryRead("/v1/operator/members");
        if (isError(answer) && isFirstRound) {
            return errorOf(answer);
        }
        if (isError(answer)) {
            // A proxy that restarts during the wait answers again later.
            continue;
        }
        Result<std::vector<Member>> members = tryReadMembers(valueOf(answer));
        if (isError(members)) {
            return errorOf(members);
        }
        wait.seeMembers(valueOf(std::move(members)));
        askPending(control, wait);
        if (wait.isOver()) {
            return WaitOutcome {wait.liveCount(), std::chrono::duration<double>(control.elapsed() - startedAt).count()};
        }
    }
}

} // namespace Fuchsiastep::ControlTool

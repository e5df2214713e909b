#include <fuchsiactl/ExitCode.h>

#include <array>

namespace Fuchsiastep::ControlTool {

std::span<const ExitCodeInfo> exitCodeTable()
{
    static constexpr std::array<ExitCodeInfo, 6> Table {{
        {ExitCode::Success, "Success", "done; for status also: no serving proxy lags"},
        {ExitCode::Failed, "Failed", "refused or failed; nothing was changed"},
        {ExitCode::Usage, "Usage", "the command line is not valid"},
        {ExitCode::Conflict, "Conflict", "somebody else changed the same object first; nothing was changed"},
        {ExitCode::Unreachable, "Unreachable", "no proxy could be reached; nothing was changed"},
        {ExitCode::Unknown, "Unknown", "the time ran out or the outcome is unknown"},
    }};
    return Table;
}

ExitCode exitCodeOf(const Error &error)
{
    switch (error.code) {
    case ErrorCode::None:
        return ExitCode::Success;
    case ErrorCode::CommandLineInvalid:
        return ExitCode::Usage;
    case ErrorCode::ChangeConflict:
        return ExitCode::Conflict;
    case ErrorCode::ProxyUnreachable:
        return ExitCode::Unreachable;
    case ErrorCode::WaitTimeout:
    case ErrorCode::ChangeOutcomeUnknown:
    case ErrorCode::PlatformOutcomeUnknown:
    case ErrorCode::OutcomeUnknown:
        return ExitCode::Unknown;
    default:
        return ExitCode::Failed;
    }
}

} // namespace Fuchsiastep::ControlTool

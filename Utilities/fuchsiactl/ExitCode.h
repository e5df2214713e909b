#pragma once

#include <LibCore/Error.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace Fuchsiastep::ControlTool {

/// How fuchsiactl ended. The numbers are stable: scripts may rely on them.
enum class ExitCode : std::uint8_t {
    Success = 0,
    Failed = 1,
    Usage = 2,
    Conflict = 3,
    Unreachable = 4,
    Unknown = 5,
};

/// One row of the table of exit codes.
struct ExitCodeInfo
{
    ExitCode code;
    std::string_view name;
    std::string_view description;
};

/// The whole table, in ascending order of the numbers.
std::span<const ExitCodeInfo> exitCodeTable();

/// The exit code with which a verb ends that fails with \a error.
ExitCode exitCodeOf(const Error &error);

} // namespace Fuchsiastep::ControlTool

#pragma once

#include <string>
#include <vector>

namespace Fuchsiastep {

/// A program with its arguments.
struct ProcessCommand
{
    std::string program;
    std::vector<std::string> arguments;
    /// Standard error is appended to this file; empty discards it.
    std::string logPath;
};

} // namespace Fuchsiastep

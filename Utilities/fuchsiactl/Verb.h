#pragma once

#include <fuchsiactl/ExitCode.h>
#include <fuchsiactl/VerbContext.h>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep::ControlTool {

using Arguments = std::vector<std::string>;

/// One row of the table of verbs.
struct Verb
{
    std::string_view name;
    std::string_view synopsis;
    std::string_view summary;
    std::size_t minimumArguments = 0;
    std::size_t maximumArguments = 0;
    bool needsProxy = true;
    /// The verb submits changes, so it needs the name of an operator.
    bool changesObjects = false;
    /// Flags beside the global ones, with '_'.
    std::span<const std::string_view> flags;
    /// Prints what it has to say; an error is printed by the caller.
    Result<ExitCode> (*tryRun)(const VerbContext &context, const Arguments &arguments);
};

} // namespace Fuchsiastep::ControlTool

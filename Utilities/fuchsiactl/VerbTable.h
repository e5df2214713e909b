#pragma once

#include <fuchsiactl/CommandLine.h>
#include <fuchsiactl/Verb.h>

#include <span>
#include <string_view>

namespace Fuchsiastep::ControlTool {

/// Every verb, in the order of the help.
std::span<const Verb> verbTable();

/// nullptr where there is no such verb.
const Verb *findVerb(std::string_view name);

/// Runs a verb and prints its result or its error.
ExitCode runVerb(const VerbCommand &command, const OutputFormat &output);

} // namespace Fuchsiastep::ControlTool

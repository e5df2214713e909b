#pragma once

#include <LibCore/Result.h>
#include <fuchsiactl/Options.h>
#include <fuchsiactl/Verb.h>

#include <string>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// Shows the help of the tool, or of one verb.
struct HelpCommand
{
    const Verb *verb = nullptr;
};

struct VersionCommand
{ };

/// Runs a verb.
struct VerbCommand
{
    const Verb *verb = nullptr;
    Options options;
    /// What follows the verb, without flags.
    std::vector<std::string> arguments;
};

using CommandLine = std::variant<VerbCommand, HelpCommand, VersionCommand>;

/// Reads the words behind the program's name. Flags and arguments may be mixed, "--" ends the flags, and a flag's
/// name may be written with '-' or '_'. Fails with CommandLineInvalid.
Result<CommandLine> tryParseCommandLine(const std::vector<std::string> &words);

/// The help of the tool, or of \a verb where it is not nullptr.
std::string helpText(const Verb *verb);

} // namespace Fuchsiastep::ControlTool

#include <fuchsiactl/CommandLine.h>
#include <fuchsiactl/VerbTable.h>

#include <cstdlib>
#include <iostream>

using namespace Fuchsiastep;
using namespace Fuchsiastep::ControlTool;

static ExitCode run(const CommandLine &commandLine)
{
    return std::visit(
        Overloaded {
            [](const VerbCommand &command) { return runVerb(command, OutputFormat(command.options.isJson, std::cout, std::cerr)); },
            [](const HelpCommand &help) {
                std::cout << helpText(help.verb);
                return ExitCode::Success;
            },
            [](VersionCommand) {
                std::cout << "fuchsiactl " FUCHSIASTEP_VERSION "\n";
                return ExitCode::Success;
            },
        },
        commandLine);
}

/// The operators' command line. docs/interfaces.md describes the verbs and the exit codes.
int main(int argc, char **argv)
{
    const Result<CommandLine> commandLine = tryParseCommandLine({argv + 1, argv + argc});
    if (isError(commandLine)) {
        std::cerr << "fuchsiactl: " << errorOf(commandLine).detail << '\n';
        return static_cast<int>(ExitCode::Usage);
    }
    const ExitCode code = run(valueOf(commandLine));
    // A result that could not be written, to a full disk or a closed pipe, is no success.
    const bool isWritten = static_cast<bool>(std::cout.flush());
    return static_cast<int>(isWritten || code != ExitCode::Success ? code : ExitCode::Failed);
}

#include <fuchsiactl/VerbTable.h>

#include <fuchsiactl/Verbs.h>

#include <algorithm>
#include <array>

namespace Fuchsiastep::ControlTool {

static constexpr std::array<std::string_view, 5> ApplyFlags {"comment", "prune", "wait", "operation", "dry_run"};
static constexpr std::array<std::string_view, 4> ChangeFlags {"comment", "wait", "operation", "dry_run"};
static constexpr std::array<std::string_view, 1> DiffFlags {"prune"};
static constexpr std::array<std::string_view, 2> AuditFlags {"after", "limit"};
static constexpr std::size_t MaximumLabelArguments = 66; // Kind, name and 64 labels.
static constexpr std::size_t MaximumLogFiles = 1000; // Keeps a wrong glob from opening a whole archive.

std::span<const Verb> verbTable()
{
    static constexpr std::array<Verb, 15> Table {{
        {"check", "check PATH", "Check declaration files without a proxy", 1, 1, false, false, {}, tryRunCheck},
        {"diff", "diff PATH", "Compare declaration files with what is in force", 1, 1, true, false, DiffFlags, tryRunDiff},
        {"apply", "apply PATH", "Put declaration files in force", 1, 1, true, true, ApplyFlags, tryRunApply},
        {"remove", "remove KIND NAME", "Remove one object", 2, 2, true, true, ChangeFlags, tryRunRemove},
        {"label",
            "label service|upstream NAME KEY=VALUE... KEY-",
            "Set and remove labels of a service or upstream",
            3,
            MaximumLabelArguments,
            true,
            true,
            ChangeFlags,
            tryRunLabel},
        {"show", "show [KIND [NAME]]", "Show the objects in force", 0, 2, true, false, {}, tryRunShow},
        {"status", "status", "Show state and version of every proxy", 0, 0, true, false, {}, tryRunStatus},
        {"wait", "wait VERSION", "Wait until every live proxy holds a version", 1, 1, true, false, {}, tryRunWait},
        {"audit", "audit", "Show who changed what", 0, 0, true, false, AuditFlags, tryRunAudit},
        {"members", "members", "Show the members that a proxy knows", 0, 0, true, false, {}, tryRunMembers},
        {"routes", "routes SERVICE", "Show the routes of a service as a proxy resolves them", 1, 1, true, false, {}, tryRunRoutes},
        {"drain", "drain", "Stop the proxy given by --proxy gracefully", 0, 0, true, false, {}, tryRunDrain},
        {"explain",
            "explain ID FILE...",
            "Show the log lines of one request in order",
            2,
            MaximumLogFiles + 1,
            false,
            false,
            {},
            tryRunExplain},
        {"codes", "codes", "Show the table of result codes", 0, 0, false, false, {}, tryRunCodes},
        {"events", "events", "Show the catalogue of log events", 0, 0, false, false, {}, tryRunEvents},
    }};
    return Table;
}

const Verb *findVerb(std::string_view name)
{
    const std::span<const Verb> table = verbTable();
    const auto found = std::find_if(table.begin(), table.end(), [name](const Verb &verb) { return verb.name == name; });
    return found == table.end() ? nullptr : &*found;
}

ExitCode runVerb(const VerbCommand &command, const OutputFormat &output)
{
    ControlPoint control(command.options.proxies, command.options.timeout);
    const Result<ExitCode> ended = command.verb->tryRun({command.options, control, output}, command.arguments);
    if (isError(ended)) {
        output.printError(errorOf(ended));
        return exitCodeOf(errorOf(ended));
    }
    return valueOf(ended);
}

} // namespace Fuchsiastep::ControlTool

#include <fuchsiactl/CommandLine.h>

#include <fuchsiactl/ExitCode.h>
#include <fuchsiactl/VerbTable.h>

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>
#include <set>

ABSL_FLAG(std::string, proxy, "", "control addresses IP:PORT, tried in turn, separated by commas; default: $FUCHSIASTEP_PROXY");
ABSL_FLAG(bool, json, false, "print one JSON document, for scripts");
ABSL_FLAG(double, timeout_s, 30, "longest time for the whole command in seconds; default 30");
ABSL_FLAG(std::string, operator, "", "name for the audit trail; default: $USER");
ABSL_FLAG(std::string, comment, "", "text for the audit trail");
ABSL_FLAG(std::string, operation, "", "id of the change; giving the same id again never changes anything twice");
ABSL_FLAG(bool, prune, false, "also remove objects that are not declared");
ABSL_FLAG(bool, wait, false, "wait until every live proxy holds the change");
ABSL_FLAG(bool, dry_run, false, "show what would change, and change nothing");
ABSL_FLAG(std::uint64_t, after, 0, "only entries behind this version");
ABSL_FLAG(std::int32_t, limit, 100, "at most this many entries, 1 to 1000; default 100");

namespace Fuchsiastep::ControlTool {

namespace {

constexpr std::array<std::string_view, 4> GlobalFlags {"proxy", "json", "timeout_s", "operator"};
constexpr std::array<std::string_view, 7> VerbFlags {"comment", "operation", "prune", "wait", "dry_run", "after", "limit"};
constexpr double MaximumTimeoutSeconds = 86'400;
constexpr std::int32_t MaximumLimit = 1000;
constexpr std::size_t MaximumOperationBytes = 64;

/// The words in order, sorted into flags and arguments.
struct SortedWords
{
    std::vector<std::string> arguments;
    std::set<std::string> flags;
    bool isHelpWanted = false;
    bool isVersionWanted = false;
};

Error usageError(const std::string &detail)
{
    return {ErrorCode::CommandLineInvalid, detail};
}

std::string writtenName(std::string_view flag)
{
    std::string name = "--" + std::string(flag);
    std::replace(name.begin(), name.end(), '_', '-');
    return name;
}

bool isKnownFlag(std::string_view name)
{
    const auto isName = [name](std::string_view flag) {
        return flag == name;
    };
    return std::any_of(GlobalFlags.begin(), GlobalFlags.end(), isName) || std::any_of(VerbFlags.begin(), VerbFlags.end(), isName);
}

/// Gives the flags their defaults back, so that parsing is repeatable. absl::FlagSaver would write to standard error.
void resetFlags()
{
    std::string ignored;
    const auto reset = [&ignored](std::string_view name) {
        absl::CommandLineFlag *flag = absl::FindCommandLineFlag(std::string(name));
        flag->ParseFrom(flag->DefaultValue(), &ignored);
    };
    std::for_each(GlobalFlags.begin(), GlobalFlags.end(), reset);
    std::for_each(VerbFlags.begin(), VerbFlags.end(), reset);
}

/// Reads the flag at \a index and moves \a index past its value. Abseil's own parser ends the program with status 1
/// on a wrong flag, where this tool promises status 2.
Result<Done> tryReadFlag(const std::vector<std::string> &words, std::size_t &index, SortedWords &sorted)
{
    const std::string &word = words[index];
    const std::size_t equals = word.find('=');
    std::string name = word.substr(2, equals == std::string::npos ? equals : equals - 2);
    std::replace(name.begin(), name.end(), '-', '_');
    if (name == "help" || name == "version") {
        (name == "help" ? sorted.isHelpWanted : sorted.isVersionWanted) = true;
        return Done {};
    }
    absl::CommandLineFlag *flag = isKnownFlag(name) ? absl::FindCommandLineFlag(name) : nullptr;
    if (flag == nullptr) {
        return usageError("unknown flag " + word.substr(0, equals));
    }
    std::string value = "true";
    if (equals != std::string::npos) {
        value = word.substr(equals + 1);
    } else if (!flag->IsOfType<bool>()) {
        if (++index == words.size()) {
            return usageError(writtenName(name) + " needs a value");
        }
        value = words[index];
    }
    std::string reason;
    if (!flag->ParseFrom(value, &reason)) {
        return usageError(writtenName(name) + ": wrong value '" + value + "'");
    }
    sorted.flags.insert(name);
    return Done {};
}

Result<SortedWords> trySortWords(const std::vector<std::string> &words)
{
    SortedWords sorted;
    bool areFlagsOver = false;
    for (std::size_t index = 0; index < words.size(); ++index) {
        const std::string &word = words[index];
        if (areFlagsOver || word == "-" || !word.starts_with('-')) {
            sorted.arguments.push_back(word);
        } else if (word == "--") {
            areFlagsOver = true;
        } else if (word == "-h") {
            sorted.isHelpWanted = true;
        } else if (!word.starts_with("--")) {
            return usageError("unknown flag " + word);
        } else if (const Result<Done> read = tryReadFlag(words, index, sorted); isError(read)) {
            return errorOf(read);
        }
    }
    return sorted;
}

std::string environment(const char *name)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe): the program has one thread.
    return value != nullptr ? value : "";
}

Result<std::vector<SocketAddress>> tryParseProxies(const std::string &list)
{
    std::vector<SocketAddress> proxies;
    std::size_t begin = 0;
    while (begin < list.size()) {
        const std::size_t comma = std::min(list.find(',', begin), list.size());
        const std::string text = list.substr(begin, comma - begin);
        const Result<SocketAddress> address = SocketAddress::tryParse(text);
        if (isError(address) || valueOf(address).port == 0) {
            return usageError("--proxy: '" + text + "' is not IP:PORT");
        }
        proxies.push_back(valueOf(address));
        begin = comma + 1;
    }
    return proxies;
}

bool isOperationId(const std::string &text)
{
    constexpr const char *Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-";
    return !text.empty() && text.size() <= MaximumOperationBytes && text.find_first_not_of(Allowed) == std::string::npos;
}

Result<Options> tryReadOptions(const SortedWords &sorted)
{
    Options options;
    const std::string flag = absl::GetFlag(FLAGS_proxy);
    Result<std::vector<SocketAddress>> proxies = tryParseProxies(flag.empty() ? environment("FUCHSIASTEP_PROXY") : flag);
    if (isError(proxies)) {
        return errorOf(proxies);
    }
    const double timeout = absl::GetFlag(FLAGS_timeout_s);
    if (!(timeout > 0 && timeout <= MaximumTimeoutSeconds)) {
        return usageError("--timeout-s must be above 0 and at most 86400");
    }
    const std::int32_t limit = absl::GetFlag(FLAGS_limit);
    if (limit < 1 || limit > MaximumLimit) {
        return usageError("--limit must be from 1 to 1000");
    }
    options.operation = absl::GetFlag(FLAGS_operation);
    if (sorted.flags.contains("operation") && !isOperationId(options.operation)) {
        return usageError("--operation must be 1 to 64 of a-z, A-Z, 0-9 and '-'");
    }
    options.proxies = valueOf(std::move(proxies));
    options.isJson = absl::GetFlag(FLAGS_json);
    options.timeout = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(timeout));
    options.operatorName = absl::GetFlag(FLAGS_operator).empty() ? environment("USER") : absl::GetFlag(FLAGS_operator);
    options.comment = absl::GetFlag(FLAGS_comment);
    options.isPruning = absl::GetFlag(FLAGS_prune);
    options.isWaiting = absl::GetFlag(FLAGS_wait);
    options.isDryRun = absl::GetFlag(FLAGS_dry_run);
    options.after = absl::GetFlag(FLAGS_after);
    options.limit = static_cast<std::uint32_t>(limit);
    return options;
}

bool takesFlag(const Verb &verb, std::string_view flag)
{
    const auto isFlag = [flag](std::string_view name) {
        return name == flag;
    };
    return std::any_of(GlobalFlags.begin(), GlobalFlags.end(), isFlag) || std::any_of(verb.flags.begin(), verb.flags.end(), isFlag);
}

Result<Done> tryCheckUse(const Verb &verb, const SortedWords &sorted, std::size_t argumentCount, const Options &options)
{
    for (const std::string &flag : sorted.flags) {
        if (!takesFlag(verb, flag)) {
            return usageError(std::string(verb.name) + " does not take " + writtenName(flag));
        }
    }
    if (argumentCount < verb.minimumArguments || argumentCount > verb.maximumArguments) {
        return usageError("usage: fuchsiactl " + std::string(verb.synopsis));
    }
    if (verb.needsProxy && options.proxies.empty()) {
        return usageError(std::string(verb.name) + " needs --proxy IP:PORT or FUCHSIASTEP_PROXY");
    }
    if (verb.changesObjects && options.operatorName.empty()) {
        return usageError(std::string(verb.name) + " needs --operator NAME");
    }
    return Done {};
}

std::string flagLine(std::string_view name)
{
    constexpr std::size_t NameWidth = 16;
    const absl::CommandLineFlag *flag = absl::FindCommandLineFlag(std::string(name));
    std::string line = "  " + writtenName(name);
    line.resize(std::max(line.size() + 1, NameWidth), ' ');
    return line + flag->Help() + '\n';
}

} // namespace

Result<CommandLine> tryParseCommandLine(const std::vector<std::string> &words)
{
    resetFlags();
    Result<SortedWords> sortedWords = trySortWords(words);
    if (isError(sortedWords)) {
        return errorOf(sortedWords);
    }
    SortedWords sorted = valueOf(std::move(sortedWords));
    if (sorted.isVersionWanted) {
        return VersionCommand {};
    }
    if (!sorted.arguments.empty() && sorted.arguments.front() == "help") {
        sorted.arguments.erase(sorted.arguments.begin());
        sorted.isHelpWanted = true;
    }
    if (sorted.arguments.empty()) {
        return sorted.isHelpWanted ? Result<CommandLine>(HelpCommand {}) : usageError("no verb; see fuchsiactl --help");
    }
    const Verb *verb = findVerb(sorted.arguments.front());
    if (verb == nullptr) {
        return usageError("unknown verb '" + sorted.arguments.front() + "'; see fuchsiactl --help");
    }
    if (sorted.isHelpWanted) {
        return HelpCommand {verb};
    }
    sorted.arguments.erase(sorted.arguments.begin());
    Result<Options> options = tryReadOptions(sorted);
    if (isError(options)) {
        return errorOf(options);
    }
    const Result<Done> checked = tryCheckUse(*verb, sorted, sorted.arguments.size(), valueOf(options));
    if (isError(checked)) {
        return errorOf(checked);
    }
    return VerbCommand {verb, valueOf(std::move(options)), std::move(sorted.arguments)};
}

std::string helpText(const Verb *verb)
{
    constexpr std::size_t SynopsisWidth = 46;
    std::string text;
    if (verb != nullptr) {
        text = "usage: fuchsiactl " + std::string(verb->synopsis) + "\n\n" + std::string(verb->summary) + ".\n\nflags:\n";
        for (const std::string_view flag : verb->flags) {
            text += flagLine(flag);
        }
    } else {
        text = "usage: fuchsiactl VERB [ARGUMENTS] [FLAGS]\n\nverbs:\n";
        for (const Verb &listed : verbTable()) {
            std::string line = "  " + std::string(listed.synopsis);
            line.resize(std::max(line.size() + 2, SynopsisWidth), ' ');
            text += line + std::string(listed.summary) + '\n';
        }
        text += "\nflags of every verb:\n";
    }
    for (const std::string_view flag : GlobalFlags) {
        text += flagLine(flag);
    }
    text += "  --help        show this text, or the help of the given verb\n  --version     show the version\n";
    if (verb == nullptr) {
        text += "\nexit codes:\n";
        for (const ExitCodeInfo &info : exitCodeTable()) {
            text += "  " + std::to_string(static_cast<unsigned>(info.code)) + "  " + std::string(info.description) + '\n';
        }
    }
    return text;
}

} // namespace Fuchsiastep::ControlTool

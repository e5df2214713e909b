#include <fuchsiactl/Verbs.h>
#include <fuchsiactl/WaitRun.h>

#include <charconv>

namespace Fuchsiastep::ControlTool {

Result<ExitCode> tryRunWait(const VerbContext &context, const Arguments &arguments)
{
    const std::string &text = arguments[0];
    std::int64_t version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || version < 1) {
        return Error {ErrorCode::CommandLineInvalid, "'" + text + "' is not a version"};
    }
    const auto wanted = static_cast<std::uint64_t>(version);
    const Result<WaitOutcome> outcome = tryWaitForVersion(context.control, wanted);
    if (isError(outcome)) {
        return errorOf(outcome);
    }
    const WaitOutcome &waited = valueOf(outcome);
    context.output.print(waited.toText(wanted) + '\n',
        JsonValue::Object {{"version", wanted}, {"proxies", std::uint64_t {waited.proxies}}, {"seconds", waited.seconds}});
    return ExitCode::Success;
}

} // namespace Fuchsiastep::ControlTool

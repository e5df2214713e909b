#include <fuchsiactl/Verbs.h>

namespace Fuchsiastep::ControlTool {

Result<ExitCode> tryRunDrain(const VerbContext &context, const Arguments &)
{
    // A list would make it unclear which proxy stops when the first one does not answer.
    if (context.options.proxies.size() != 1) {
        return Error {ErrorCode::CommandLineInvalid, "drain needs exactly one --proxy"};
    }
    const Result<JsonValue> answer = context.control.tryPost("/v1/operator/drain", "{}");
    if (isError(answer)) {
        const Error &error = errorOf(answer);
        const bool isLost = error.code == ErrorCode::ConnectionClosed || error.code == ErrorCode::WaitTimeout;
        return isLost ? Error {ErrorCode::OutcomeUnknown, error.detail + "; the drain may have started"} : error;
    }
    const std::string proxy = context.options.proxies.front().toString();
    context.output.print("proxy " + proxy + " is draining\n", JsonValue::Object {{"proxy", proxy}, {"draining", true}});
    return ExitCode::Success;
}

} // namespace Fuchsiastep::ControlTool

#include <fuchsiactl/ChangeRun.h>

#include <fuchsiactl/WaitRun.h>

namespace Fuchsiastep::ControlTool {

static ExitCode waitForChange(const VerbContext &context, std::uint64_t version, JsonValue::Object &document)
{
    const Result<WaitOutcome> waited = tryWaitForVersion(context.control, version);
    if (isError(waited)) {
        // The change is accepted all the same, so that its version is still printed.
        context.output.printError(errorOf(waited));
        document["in_force"] = false;
        return exitCodeOf(errorOf(waited));
    }
    context.output.printNote(valueOf(waited).toText(version));
    document["in_force"] = true;
    document["seconds"] = valueOf(waited).seconds;
    return ExitCode::Success;
}

Result<ExitCode> tryRunChange(const VerbContext &context, const Change &change, const std::string &summary)
{
    if (change.stored.empty() && change.removed.empty()) {
        context.output.print(summary + "nothing to change\n", JsonValue::Object {{"empty", true}, {"version", change.baseVersion}});
        return ExitCode::Success;
    }
    if (context.options.isDryRun) {
        context.output.print(
            summary + "nothing was changed (--dry-run)\n", JsonValue::Object {{"dry_run", true}, {"change", change.toJson()}});
        return ExitCode::Success;
    }
    const Result<AcceptedChange> accepted =
        context.control.trySubmit(change.operation, change.toJson().toText(), !context.options.operation.empty());
    if (isError(accepted)) {
        return errorOf(accepted);
    }
    const AcceptedChange &result = valueOf(accepted);
    JsonValue::Object document {{"version", result.version}, {"digest", result.digest}, {"operation", change.operation}};
    ExitCode code = ExitCode::Success;
    if (context.options.isWaiting) {
        code = waitForChange(context, result.version, document);
    }
    context.output.print(summary + "accepted as version " + std::to_string(result.version) + '\n', document);
    return code;
}

} // namespace Fuchsiastep::ControlTool

#include <fuchsiactl/AuditTable.h>
#include <fuchsiactl/Verbs.h>

namespace Fuchsiastep::ControlTool {

Result<ExitCode> tryRunAudit(const VerbContext &context, const Arguments &)
{
    const std::string query = "?after=" + std::to_string(context.options.after) + "&limit=" + std::to_string(context.options.limit);
    const Result<JsonValue> answer = context.control.tryRead("/v1/operator/audit" + query);
    if (isError(answer)) {
        return errorOf(answer);
    }
    context.output.print(formatAudit(valueOf(answer)), valueOf(answer));
    return ExitCode::Success;
}

} // namespace Fuchsiastep::ControlTool

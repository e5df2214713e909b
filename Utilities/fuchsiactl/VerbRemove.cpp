#include <fuchsiactl/ChangeRun.h>
#include <fuchsiactl/Verbs.h>

namespace Fuchsiastep::ControlTool {

Result<ExitCode> tryRunRemove(const VerbContext &context, const Arguments &arguments)
{
    const Result<ObjectKind> kind = tryParseObjectKind(arguments[0]);
    if (isError(kind)) {
        return errorOf(kind);
    }
    const Result<ObjectsInForce> inForce = tryReadObjectsInForce(context.control);
    if (isError(inForce)) {
        return errorOf(inForce);
    }
    const ObjectName name {valueOf(kind), arguments[1]};
    if (!valueOf(inForce).objects.contains(name)) {
        return Error {ErrorCode::ObjectMissing, toText(name)};
    }
    Change change = Change::from(context.options, valueOf(inForce).version);
    change.removed.push_back(name);
    return tryRunChange(context, change, "- " + toText(name) + '\n');
}

} // namespace Fuchsiastep::ControlTool

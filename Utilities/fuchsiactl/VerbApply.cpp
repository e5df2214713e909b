#include <fuchsiactl/ChangeRun.h>
#include <fuchsiactl/DeclarationFiles.h>
#include <fuchsiactl/Difference.h>
#include <fuchsiactl/Verbs.h>

namespace Fuchsiastep::ControlTool {

Result<ExitCode> tryRunApply(const VerbContext &context, const Arguments &arguments)
{
    std::vector<Error> errors;
    const Result<ObjectSet> declared = tryLoadObjectSet(arguments[0], errors);
    if (isError(declared)) {
        return reportDeclarationErrors(context.output, errors);
    }
    const Result<ObjectsInForce> inForce = tryReadNormalizedObjectsInForce(context.control);
    if (isError(inForce)) {
        return errorOf(inForce);
    }
    const bool isPruning = context.options.isPruning;
    const Difference difference = Difference::between(valueOf(inForce).objects, valueOf(declared));
    Change change = Change::from(context.options, valueOf(inForce).version);
    change.stored = difference.added;
    change.stored.insert(difference.changed.begin(), difference.changed.end());
    if (isPruning) {
        change.removed = difference.undeclared;
    }
    return tryRunChange(context, change, difference.toText(isPruning));
}

} // namespace Fuchsiastep::ControlTool

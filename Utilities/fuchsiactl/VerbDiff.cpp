#include <fuchsiactl/DeclarationFiles.h>
#include <fuchsiactl/Difference.h>
#include <fuchsiactl/Verbs.h>

namespace Fuchsiastep::ControlTool {

Result<ExitCode> tryRunDiff(const VerbContext &context, const Arguments &arguments)
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
    const Difference difference = Difference::between(valueOf(inForce).objects, valueOf(declared));
    const bool isPruning = context.options.isPruning;
    std::string text = difference.toText(isPruning);
    if (difference.isEmpty(isPruning)) {
        text += "nothing to change\n";
    }
    context.output.print(text, difference.toJson(isPruning));
    return ExitCode::Success;
}

} // namespace Fuchsiastep::ControlTool

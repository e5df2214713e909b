#include <fuchsiactl/ChangeRun.h>
#include <fuchsiactl/Difference.h>
#include <fuchsiactl/LabelEdit.h>
#include <fuchsiactl/Verbs.h>

namespace Fuchsiastep::ControlTool {

Result<ExitCode> tryRunLabel(const VerbContext &context, const Arguments &arguments)
{
    constexpr std::size_t FirstEdit = 2;
    const Result<ObjectKind> kind = tryParseObjectKind(arguments[0]);
    if (isError(kind)) {
        return errorOf(kind);
    }
    if (valueOf(kind) == ObjectKind::Selector) {
        return Error {ErrorCode::CommandLineInvalid, "a selector has no labels of its own"};
    }
    const Result<ObjectsInForce> inForce = tryReadObjectsInForce(context.control);
    if (isError(inForce)) {
        return errorOf(inForce);
    }
    const ObjectName name {valueOf(kind), arguments[1]};
    const auto found = valueOf(inForce).objects.find(name);
    if (found == valueOf(inForce).objects.end()) {
        return Error {ErrorCode::ObjectMissing, toText(name)};
    }
    const Result<JsonValue> edited = tryEditLabels(found->second, std::span(arguments).subspan(FirstEdit));
    if (isError(edited)) {
        return errorOf(edited);
    }
    const Difference difference = Difference::between({*found}, {{name, valueOf(edited)}});
    Change change = Change::from(context.options, valueOf(inForce).version);
    change.stored = difference.changed;
    return tryRunChange(context, change, difference.toText(false));
}

} // namespace Fuchsiastep::ControlTool

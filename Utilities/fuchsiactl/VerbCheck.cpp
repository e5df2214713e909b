#include <fuchsiactl/DeclarationFiles.h>
#include <fuchsiactl/Verbs.h>

namespace Fuchsiastep::ControlTool {

Result<ExitCode> tryRunCheck(const VerbContext &context, const Arguments &arguments)
{
    std::vector<Error> errors;
    const Result<ObjectSet> objects = tryLoadObjectSet(arguments[0], errors);
    if (isError(objects)) {
        return reportDeclarationErrors(context.output, errors);
    }
    // A deployment is declared as a whole; apply leaves this to the proxy, which knows what else is in force.
    errors = findDanglingReferences(valueOf(objects));
    if (!errors.empty()) {
        return reportDeclarationErrors(context.output, errors);
    }
    const std::size_t count = valueOf(objects).size();
    context.output.print(std::to_string(count) + " objects, no errors\n",
        JsonValue::Object {{"objects", std::uint64_t {count}}, {"errors", JsonValue::Array {}}});
    return ExitCode::Success;
}

} // namespace Fuchsiastep::ControlTool

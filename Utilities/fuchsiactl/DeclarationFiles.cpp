#include <fuchsiactl/DeclarationFiles.h>

#include <LibConfiguration/Declarations.h>
#include <fuchsiactl/FieldList.h>

#include <sstream>

namespace Fuchsiastep::ControlTool {

/// Declarations gives one error with a line for each fault.
static std::vector<Error> splitLines(const Error &error)
{
    std::vector<Error> errors;
    std::istringstream lines(error.detail);
    for (std::string line; std::getline(lines, line);) {
        errors.push_back({error.code, line});
    }
    return errors;
}

static Result<ObjectSet> tryNormalize(const Result<Declarations> &declarations)
{
    if (isError(declarations)) {
        return errorOf(declarations);
    }
    return tryReadObjectSet(valueOf(declarations).toJson());
}

Result<ObjectSet> tryLoadObjectSet(const std::string &path, std::vector<Error> &errors)
{
    Result<ObjectSet> objects = tryNormalize(Declarations::tryRead(path));
    if (isError(objects)) {
        errors = splitLines(errorOf(objects));
    }
    return objects;
}

std::vector<Error> findDanglingReferences(const ObjectSet &objects)
{
    std::vector<Error> errors;
    for (const auto &[name, object] : objects) {
        const std::string service = fieldText(object, "service");
        const bool hasService = name.kind == ObjectKind::Upstream || name.kind == ObjectKind::Selector;
        if (hasService && !objects.contains({ObjectKind::Service, service})) {
            errors.push_back({ErrorCode::DanglingReference, toText(name) + ": service: '" + service + "' is not declared"});
        }
    }
    return errors;
}

Result<ObjectsInForce> tryReadNormalizedObjectsInForce(ControlPoint &control)
{
    Result<ObjectsInForce> answer = tryReadObjectsInForce(control);
    if (isError(answer)) {
        return errorOf(answer);
    }
    ObjectsInForce inForce = valueOf(std::move(answer));
    const std::string text = JsonValue(toDocument(inForce.objects)).toText();
    Result<ObjectSet> objects = tryNormalize(Declarations::tryParse(text, "objects in force"));
    if (isError(objects)) {
        return errorOf(objects);
    }
    inForce.objects = valueOf(std::move(objects));
    return inForce;
}

ExitCode reportDeclarationErrors(const OutputFormat &output, const std::vector<Error> &errors)
{
    for (const Error &error : errors) {
        output.printError(error);
    }
    return ExitCode::Failed;
}

} // namespace Fuchsiastep::ControlTool

#pragma once

#include <fuchsiactl/ExitCode.h>
#include <fuchsiactl/ObjectSet.h>
#include <fuchsiactl/OutputFormat.h>

#include <string>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// Reads and checks one declaration file, or every *.json file of a folder as one set. On failure \a errors names each
/// wrong field by file, object and field. Objects have all their fields, defaults included.
Result<ObjectSet> tryLoadObjectSet(const std::string &path, std::vector<Error> &errors);

/// One error for each upstream and selector whose service is not among the objects.
std::vector<Error> findDanglingReferences(const ObjectSet &objects);

/// The objects in force with all their fields, so that they compare equal to declared ones.
Result<ObjectsInForce> tryReadNormalizedObjectsInForce(ControlPoint &control);

/// Prints every error and yields the exit code.
ExitCode reportDeclarationErrors(const OutputFormat &output, const std::vector<Error> &errors);

} // namespace Fuchsiastep::ControlTool

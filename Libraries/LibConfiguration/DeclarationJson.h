#pragma once

#include <LibConfiguration/DeclaredObject.h>
#include <LibCore/JsonValue.h>

#include <string>
#include <vector>

namespace Fuchsiastep {

/// Reads one object of \a kind. Errors are appended to \a errors with code DeclarationMalformed and a detail
/// "<object>: <field path>: ..."; \a path is the path of the value, such as "$.selectors[0]". The result is
/// meaningful only where nothing was appended.
DeclaredObject readObject(ObjectKind kind, const JsonValue &value, const std::string &path, std::vector<Error> &errors);

/// The JSON form that readObject() reads, with every field written out.
JsonValue toJson(const DeclaredObject &object);

/// The key of a declaration file under which objects of \a kind are listed: "services", "upstreams", "selectors" or "workspaces".
std::string_view declarationKey(ObjectKind kind);

} // namespace Fuchsiastep

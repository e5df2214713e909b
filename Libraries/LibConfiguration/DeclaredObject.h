#pragma once

#include <LibConfiguration/ObjectName.h>
#include <LibConfiguration/Selector.h>
#include <LibConfiguration/ServiceDeclaration.h>
#include <LibConfiguration/UpstreamLabels.h>
#include <LibConfiguration/Workspace.h>
#include <LibCore/Digest.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>
#include <variant>

namespace Fuchsiastep {

/// An object that operators declare.
using DeclaredObject = std::variant<ServiceDeclaration, UpstreamLabels, Selector, Workspace>;

ObjectName nameOf(const DeclaredObject &object);

/// The canonical encoding in msgpack: equal objects have equal bytes.
std::string encodeObject(const DeclaredObject &object);
/// Fails with DeclarationMalformed.
Result<DeclaredObject> tryDecodeObject(std::string_view bytes);
/// SHA-256 of the canonical encoding.
Digest digestOf(const DeclaredObject &object);

} // namespace Fuchsiastep

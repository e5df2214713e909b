#pragma once

#include <LibConfiguration/ChangeAction.h>
#include <LibConfiguration/DeclaredObject.h>

#include <optional>

namespace Fuchsiastep {

/// One difference between a declared set and a configuration.
struct DeclarationChange
{
    ChangeAction action = ChangeAction::Create;
    ObjectName name;
    /// The object in the configuration; nothing for Create.
    std::optional<DeclaredObject> current;
    /// The declared object; nothing for Remove.
    std::optional<DeclaredObject> declared;

    bool operator==(const DeclarationChange &) const = default;
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Labels.h>

#include <string>

namespace Fuchsiastep {

/// A service that operators declare. Its name is the name that callers use in the path.
struct ServiceDeclaration
{
    std::string name;
    Labels labels;

    bool operator==(const ServiceDeclaration &) const = default;
};

} // namespace Fuchsiastep

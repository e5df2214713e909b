#pragma once

#include <LibConfiguration/Configuration.h>

namespace Fuchsiastep {

/// Value of the row "object/<kind>/<name>".
struct ObjectRow
{
    /// The version that last wrote the object; operators name it as the revision that they expect.
    ConfigurationVersion version = 0;
    DeclaredObject object;

    bool operator==(const ObjectRow &) const = default;

    std::string encode() const;
    /// Fails with PlatformMalformedAnswer.
    static Result<ObjectRow> tryDecode(std::string_view bytes);
};

} // namespace Fuchsiastep

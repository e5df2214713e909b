#pragma once

#include <LibConfiguration/AuditEntry.h>
#include <LibConfiguration/ConfigurationDelta.h>

namespace Fuchsiastep {

/// Value of the row "change/<version>".
struct ChangeRow
{
    ConfigurationDelta delta;
    AuditEntry audit;

    bool operator==(const ChangeRow &) const = default;

    std::string encode() const;
    /// Fails with PlatformMalformedAnswer where the bytes are not valid, or are not the change that leads from
    /// the version before \a version to \a version.
    static Result<ChangeRow> tryDecode(std::string_view bytes, ConfigurationVersion version);
};

} // namespace Fuchsiastep

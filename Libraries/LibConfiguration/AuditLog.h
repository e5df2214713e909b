#pragma once

#include <LibConfiguration/AuditEntry.h>
#include <LibPlatform/PlatformRequest.h>
#include <LibPlatform/Row.h>

#include <cstdint>
#include <vector>

namespace Fuchsiastep {

/// A page of the audit trail.
struct AuditLog
{
    /// In ascending order of the versions.
    std::vector<AuditEntry> entries;
    /// One for each change row that cannot be read; it names the version.
    std::vector<Error> unreadable;

    /// Asks for up to \a limit changes after \a version.
    static ScanRows request(ConfigurationVersion version, std::uint32_t limit);
    /// Decodes change rows; rows with other keys are left out.
    static AuditLog decode(const std::vector<Row> &rows);
};

} // namespace Fuchsiastep

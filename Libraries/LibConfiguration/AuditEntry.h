#pragma once

#include <LibConfiguration/ChangeAction.h>
#include <LibConfiguration/Configuration.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// What a change did to one object.
struct AuditedChange
{
    ChangeAction action = ChangeAction::Create;
    ObjectName name;
    /// The version that had last written the object; 0 where there was none.
    ConfigurationVersion previousRevision = 0;

    bool operator==(const AuditedChange &) const = default;
};

/// Who made a change, when and why.
struct AuditEntry
{
    ConfigurationVersion version = 0;
    std::string operationId;
    std::string operatorName;
    /// Wall-clock time in milliseconds since the Unix epoch, on the proxy that committed the change.
    std::int64_t unixMilliseconds = 0;
    std::string comment;
    std::vector<AuditedChange> changes;

    bool operator==(const AuditEntry &) const = default;
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/ConfigurationDelta.h>
#include <LibConfiguration/OperatorChange.h>
#include <LibPlatform/PlatformCall.h>

#include <optional>
#include <string>
#include <variant>

namespace Fuchsiastep {

/// Input: the change to commit and the newest configuration that the proxy holds. The first input, given once.
struct SubmitChange
{
    OperatorChange change;
    Configuration::Pointer configuration;
};

using ChangeCommitterInput = std::variant<SubmitChange, PlatformReply>;

/// Final output: the change is durable and has this version. A repeated submission yields the same version.
struct ChangeAccepted
{
    ConfigurationVersion version = 0;
    ConfigurationDelta delta;
    Digest digest;
};

/// Final output. Except for ChangeOutcomeUnknown this submission certainly has no effect.
struct ChangeRefused
{
    Error error;
    /// For ChangeConflict: the object that changed, the operator who changed it (empty where that cannot be found
    /// out), the version that last wrote it (0 where it does not exist) and its current value.
    std::optional<ObjectName> object;
    std::string winner;
    ConfigurationVersion currentRevision = 0;
    std::optional<DeclaredObject> currentValue;
};

using ChangeCommitterOutput = std::variant<PlatformCall, ChangeAccepted, ChangeRefused>;

} // namespace Fuchsiastep

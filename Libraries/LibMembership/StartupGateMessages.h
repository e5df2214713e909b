#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibMembership/PeerFrame.h>
#include <LibMembership/SendFrame.h>

#include <optional>
#include <variant>

namespace Fuchsiastep {

/// Answer to ReadHead: the version of the platform's head, or nothing where it cannot be read.
struct HeadRead
{
    std::optional<ConfigurationVersion> version;
};

/// The proxy adopted this version.
struct HeldVersion
{
    ConfigurationVersion version = 0;
};

/// The process was paused; what it knows about the newest version is out of date.
struct ProcessResumed
{ };

using StartupGateInput = std::variant<HeadRead, PeerFrame, HeldVersion, ProcessResumed>;

/// Asks for the version of the platform's head.
struct ReadHead
{ };

/// The proxy may serve.
struct GateOpened
{
    ConfigurationVersion version = 0;
};

/// The proxy must refuse new work as not run.
struct GateClosed
{ };

using StartupGateOutput = std::variant<ReadHead, SendFrame, GateOpened, GateClosed>;

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibMembership/PeerFrame.h>
#include <LibMembership/SendFrame.h>
#include <LibPlatform/PlatformEra.h>

#include <cstddef>
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

/// The proxy knows the members of its data centre, or has found none in time.
struct JoinEnded
{ };

using StartupGateInput = std::variant<HeadRead, PeerFrame, HeldVersion, ProcessResumed, JoinEnded, PlatformRestored>;

/// Asks for the version of the platform's head.
struct ReadHead
{ };

/// The proxy may serve. The version that it holds is at least those that the platform and the peers named.
struct GateOpened
{
    ConfigurationVersion version = 0;
    /// Version of the platform's head; nothing where it was not read.
    std::optional<ConfigurationVersion> head;
    /// Highest version among the peers that answered, and their number.
    ConfigurationVersion highestOfPeers = 0;
    std::size_t peersAnswered = 0;
};

/// The proxy must refuse new work as not run.
struct GateClosed
{ };

using StartupGateOutput = std::variant<ReadHead, SendFrame, GateOpened, GateClosed>;

} // namespace Fuchsiastep

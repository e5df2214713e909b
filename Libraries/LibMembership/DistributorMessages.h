#pragma once

#include <LibConfiguration/ConfigurationDelta.h>
#include <LibConfiguration/ConfigurationReaderMessages.h>
#include <LibCore/Error.h>
#include <LibMembership/MemberChange.h>
#include <LibMembership/PeerFrame.h>
#include <LibMembership/PeerVersion.h>
#include <LibMembership/SendFrame.h>

#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// Whether this proxy can read the platform. While it cannot, a reader asks the readers of other data centres.
struct PlatformReadability
{
    bool isReadable = true;
};

using DistributorInput = std::variant<ConfigurationFound, ContentReplaced, PeerFrame, PeerVersion, MemberChange, PlatformReadability>;

/// The holder moved to this configuration.
struct ConfigurationAdopted
{
    Configuration::Pointer configuration;
};

/// A delta or snapshot was not applied. \a peer is empty where it came from the platform.
struct ConfigurationRejected
{
    Error error;
    std::string peer;
};

/// A delegate did not acknowledge; its range went to \a newDelegate.
struct RangeReassigned
{
    std::string oldDelegate;
    std::string newDelegate;
};

/// A peer that holds a later version did not answer a pull. Its connection may have gone silent, as may those to others.
struct PullTimedOut
{
    std::string peer;
};

/// A delegate did not acknowledge in time. These members may not be reached over connections, while datagrams still are.
struct RangeUnacknowledged
{
    std::vector<std::string> members;
};

using DistributorOutput =
    std::variant<SendFrame, ConfigurationAdopted, ConfigurationRejected, RangeReassigned, RangeUnacknowledged, PullTimedOut>;

} // namespace Fuchsiastep

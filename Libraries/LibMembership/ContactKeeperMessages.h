#pragma once

#include <LibMembership/CrashSuspectStoreMessages.h>
#include <LibMembership/MergeRecords.h>
#include <LibMembership/PeerFrame.h>
#include <LibMembership/SendFrame.h>
#include <LibPlatform/PlatformCall.h>
#include <LibPlatform/PlatformEra.h>

#include <cstddef>
#include <string>
#include <variant>

namespace Fuchsiastep {

using ContactKeeperInput = std::variant<PlatformReply, PeerFrame, PlatformRestored>;

/// A contact answered with its member records.
struct JoinCompleted
{
    std::size_t memberCount = 0;
};

/// A row beside the contacts is neither a contact nor the crash suspects.
struct ContactRejected
{
    std::string key;
};

using ContactKeeperOutput =
    std::variant<PlatformCall, SendFrame, SendFrameToAddress, MergeRecords, CrashSuspectRow, ContactRejected, JoinCompleted>;

} // namespace Fuchsiastep

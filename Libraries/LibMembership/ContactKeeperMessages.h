#pragma once

#include <LibMembership/CrashSuspectStoreMessages.h>
#include <LibMembership/MergeRecords.h>
#include <LibMembership/PeerFrame.h>
#include <LibMembership/SendFrame.h>
#include <LibPlatform/PlatformCall.h>

#include <cstddef>
#include <variant>

namespace Fuchsiastep {

using ContactKeeperInput = std::variant<PlatformReply, PeerFrame>;

/// A contact answered with its member records.
struct JoinCompleted
{
    std::size_t memberCount = 0;
};

using ContactKeeperOutput = std::variant<PlatformCall, SendFrame, SendFrameToAddress, MergeRecords, CrashSuspectRow, JoinCompleted>;

} // namespace Fuchsiastep

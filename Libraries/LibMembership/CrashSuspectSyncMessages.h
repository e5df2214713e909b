#pragma once

#include <LibCore/Error.h>
#include <LibMembership/MergeCrashSuspects.h>
#include <LibMembership/PeerFrame.h>
#include <LibMembership/SendFrame.h>

#include <string>
#include <variant>

namespace Fuchsiastep {

using CrashSuspectSyncInput = std::variant<PeerFrame>;

/// A frame of \a peer could not be read.
struct CrashSuspectsRejected
{
    std::string peer;
    Error error;
};

using CrashSuspectSyncOutput = std::variant<SendFrame, MergeCrashSuspects, CrashSuspectsRejected>;

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Error.h>
#include <LibMembership/MergeCrashSuspects.h>
#include <LibPlatform/PlatformCall.h>
#include <LibPlatform/PlatformEra.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// The upstream beside this proxy crashed while these requests were in flight.
struct CrashObserved
{
    std::vector<std::uint64_t> fingerprints;
};

/// The row was found beside the contacts.
struct CrashSuspectRow
{
    Row row;
};

using CrashSuspectStoreInput = std::variant<CrashObserved, CrashSuspectRow, PlatformRestored, PlatformReply>;

/// The row cannot be read; the next write replaces it.
struct StoredCrashSuspectsRejected
{
    Error error;
};

using CrashSuspectStoreOutput = std::variant<PlatformCall, MergeCrashSuspects, StoredCrashSuspectsRejected>;

} // namespace Fuchsiastep

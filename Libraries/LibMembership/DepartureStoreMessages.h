#pragma once

#include <LibCore/Error.h>
#include <LibMembership/FailureDetectorMessages.h>
#include <LibPlatform/PlatformCall.h>
#include <LibPlatform/PlatformEra.h>

#include <variant>

namespace Fuchsiastep {

/// This proxy holds an announcement back until it knows which departure its earlier processes acknowledged.
struct DepartureHistoryWanted
{ };

using DepartureStoreInput = std::variant<DepartureHistoryWanted, DepartureExpired, PlatformRestored, PlatformReply>;

/// The row of this proxy cannot be read; the next departure replaces it.
struct StoredDepartureRejected
{
    Error error;
};

using DepartureStoreOutput = std::variant<PlatformCall, StoredDeparture, DepartureHistoryKnown, StoredDepartureRejected>;

} // namespace Fuchsiastep

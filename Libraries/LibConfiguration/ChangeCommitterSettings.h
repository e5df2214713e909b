#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>

namespace Fuchsiastep {

struct ChangeCommitterSettings
{
    /// Rounds of reading the state and committing, before the change is refused.
    std::uint32_t maximumAttempts = 12;
    /// The wait after a failed round is drawn from zero to a limit that doubles from the first to the second value.
    Duration backoffBase = std::chrono::milliseconds(20);
    Duration backoffCap = std::chrono::seconds(1);
    /// A call that is not answered in this time counts as failed, a transaction as of unknown outcome.
    Duration callTimeout = std::chrono::seconds(3);
    /// Change rows read by one call.
    std::uint32_t rowsPerRead = 64;
    /// A proxy that is more versions behind does not rebase changes.
    std::uint64_t maximumVersionsBehind = 4096;
    /// An encoded delta of this length still fits one frame.
    std::size_t maximumDeltaBytes = 768 * 1024;
};

} // namespace Fuchsiastep

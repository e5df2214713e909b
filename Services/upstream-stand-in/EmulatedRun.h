#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace Fuchsiastep {

/// A request that was admitted and runs.
struct EmulatedRun
{
    /// Counts the runs of the process from 1.
    std::uint64_t number = 0;
    /// Time after which the run ends, crashes or meets its deadline.
    Duration duration {0};
    bool endsAtDeadline = false;
    bool endsInCrash = false;
};

} // namespace Fuchsiastep

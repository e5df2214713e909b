#pragma once

#include <LibMembership/CrashSuspectEntry.h>

#include <vector>

namespace Fuchsiastep {

/// Crash suspects from a CrashSuspectsFrame, for the FailureDetector, which keeps and gossips them.
struct MergeCrashSuspects
{
    std::vector<CrashSuspectEntry> entries;
    /// Gossip them at once, because they come from another data centre.
    bool mustSpread = false;
};

} // namespace Fuchsiastep

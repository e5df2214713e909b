#pragma once

#include <LibMembership/CrashSuspectEntry.h>

#include <vector>

namespace Fuchsiastep {

/// Crash suspects from a CrashSuspectsFrame, for the FailureDetector, which keeps and gossips them.
struct MergeCrashSuspects
{
    std::vector<CrashSuspectEntry> entries;
    /// The data centre may not know them yet, so that they are passed on at once.
    bool mustSpread = false;
};

} // namespace Fuchsiastep

#pragma once

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// Crash suspects for a joining member or for another data centre.
struct CrashSuspectsFrame
{
    /// Encoded list of entries.
    std::string entries;
    /// Comes back in the CrashSuspectsAckFrame; 0 where none is wanted.
    std::uint64_t revision = 0;

    bool operator==(const CrashSuspectsFrame &) const = default;
};

} // namespace Fuchsiastep

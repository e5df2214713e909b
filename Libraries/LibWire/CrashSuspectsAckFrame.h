#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// The sender knows every entry of the CrashSuspectsFrame with this revision.
struct CrashSuspectsAckFrame
{
    std::uint64_t revision = 0;

    bool operator==(const CrashSuspectsAckFrame &) const = default;
};

} // namespace Fuchsiastep

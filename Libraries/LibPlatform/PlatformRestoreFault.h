#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>

#include <string_view>

namespace Fuchsiastep {

/// The platform stand-in is away for a moment and comes back from an older copy, in a new era.
struct PlatformRestoreFault
{
    /// Time in which every call is refused without an effect.
    Duration away {0};
    /// Age of the copy at the moment at which the stand-in goes away. What was written after it is lost.
    Duration copyAge {0};

    /// Reads {"away_ms","copy_age_ms"}; a missing member is 0.
    static Result<PlatformRestoreFault> tryParse(std::string_view json);
    bool operator==(const PlatformRestoreFault &) const = default;
};

} // namespace Fuchsiastep

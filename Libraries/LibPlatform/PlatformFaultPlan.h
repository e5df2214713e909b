#pragma once

#include <LibCore/Clock.h>

namespace Fuchsiastep {

/// The faults that one call meets.
struct PlatformFaultPlan
{
    /// Answer HTTP 503 without an effect.
    bool isRefused = false;
    /// Break the connection without an effect.
    bool losesRequest = false;
    /// Break the connection after the effect.
    bool losesAnswer = false;
    /// Answer a read from an older state.
    bool isStale = false;
    /// Go away after the effect and come back from an older copy.
    bool isFollowedByRestore = false;
    Duration delay {0};
    Duration answerDelay {0};
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>

#include <optional>
#include <string>

namespace Fuchsiastep {

/// A request as the emulated upstream received it.
struct EmulatedRequest
{
    std::string method;
    std::string path;
    /// Idempotency key; empty for a request without one.
    std::string key;
    std::string caller;
    std::size_t bodyBytes = 0;
    /// The request ends the process while it runs.
    bool isCrash = false;
    /// Answer with plain text instead of JSON.
    bool wantsText = false;
    /// Time until the deadline that came with the request.
    std::optional<Duration> timeLeft;
};

} // namespace Fuchsiastep

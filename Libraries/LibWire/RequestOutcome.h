#pragma once

#include <cstdint>
#include <string_view>

namespace Fuchsiastep {

/// How a request ended. Every request ends in exactly one of these.
enum class RequestOutcome : std::uint8_t {
    /// The upstream's whole answer is there.
    Answered = 0,
    /// The request certainly did not run.
    NotRun = 1,
    /// The request may have run.
    Unknown = 2,
};

/// "answered", "not-run" or "unknown", as callers and operators see it.
std::string_view nameOf(RequestOutcome outcome);

} // namespace Fuchsiastep

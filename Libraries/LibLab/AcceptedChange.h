#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// A change that a proxy accepted.
struct AcceptedChange
{
    std::uint64_t version = 0;
    /// When it was submitted and when its acceptance arrived, in milliseconds since the Unix epoch.
    std::int64_t submittedUnixMs = 0;
    std::int64_t acceptedUnixMs = 0;
};

} // namespace Fuchsiastep

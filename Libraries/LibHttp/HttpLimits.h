#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// Sizes that a parser accepts.
struct HttpLimits
{
    /// Start line and header fields, in bytes.
    std::uint32_t headBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024 * 1024;

    bool operator==(const HttpLimits &) const = default;
};

} // namespace Fuchsiastep

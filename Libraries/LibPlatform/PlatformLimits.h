#pragma once

#include <cstddef>
#include <cstdint>

namespace Fuchsiastep {

/// Size limits of the platform. A request beyond one is refused as PlatformMalformedRequest and has no effect.
struct PlatformLimits
{
    std::size_t keyBytes = 1024;
    std::size_t valueBytes = std::size_t(1) << 20U;
    std::size_t objectBytes = std::size_t(64) << 20U;
    /// Keys of one read, and conditions or writes of one transaction.
    std::size_t rowsPerRequest = 1000;
    /// A scan returns at most this many rows, whatever its limit asks for.
    std::uint32_t rowsPerScan = 1000;
};

} // namespace Fuchsiastep

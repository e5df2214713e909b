#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// The sender already serves as many snapshots as it may.
struct SnapshotDeferredFrame
{
    std::uint32_t retryAfterMs = 0;

    bool operator==(const SnapshotDeferredFrame &) const = default;
};

} // namespace Fuchsiastep

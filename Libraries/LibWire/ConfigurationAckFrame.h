#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// Answer to a push.
struct ConfigurationAckFrame
{
    std::uint64_t version = 0;
    /// The sender holds this version or a newer one.
    bool isHeld = false;

    bool operator==(const ConfigurationAckFrame &) const = default;
};

} // namespace Fuchsiastep

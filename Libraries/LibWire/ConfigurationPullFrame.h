#pragma once

#include <LibCore/Digest.h>

#include <cstdint>

namespace Fuchsiastep {

/// Asks for whatever leads from the version held to the receiver's version.
struct ConfigurationPullFrame
{
    /// 0 where the sender holds nothing.
    std::uint64_t versionHeld = 0;
    Digest digestHeld;

    bool operator==(const ConfigurationPullFrame &) const = default;
};

} // namespace Fuchsiastep

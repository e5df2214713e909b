#pragma once

#include <LibCore/Digest.h>

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// A configuration delta for the receiver and for every member in a range of the hash ring.
struct ConfigurationPushFrame
{
    std::uint64_t baseVersion = 0;
    std::uint64_t targetVersion = 0;
    Digest baseDigest;
    Digest targetDigest;
    /// Encoded ConfigurationDelta, compressed.
    std::string delta;
    /// The receiver distributes to the members whose ring position is in [rangeBegin, rangeEnd]; an empty
    /// range (rangeBegin > rangeEnd) asks for nothing but to hold the delta.
    std::uint64_t rangeBegin = 1;
    std::uint64_t rangeEnd = 0;

    bool operator==(const ConfigurationPushFrame &) const = default;
};

} // namespace Fuchsiastep

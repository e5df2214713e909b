#pragma once

#include <LibWire/ConfigurationPullFrame.h>

#include <cstdint>
#include <limits>

namespace Fuchsiastep {

/// A ConfigurationPull that claims to hold this version is answered with nothing but a ConfigurationAck, which tells
/// the version that the receiver holds.
constexpr std::uint64_t VersionQueryMark = std::numeric_limits<std::uint64_t>::max();

inline ConfigurationPullFrame versionQuery()
{
    return {VersionQueryMark, {}};
}

} // namespace Fuchsiastep

#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// Counts how often the platform came back from an older copy of itself. 0 where it is not known.
using PlatformEra = std::uint64_t;

/// The platform came back from an older copy. What was written after the copy is lost, and the revisions that those writes
/// had are given out again, so that a revision of an earlier era does not show what has changed since.
struct PlatformRestored
{
    PlatformEra before = 0;
    PlatformEra now = 0;
};

} // namespace Fuchsiastep

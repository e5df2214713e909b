#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// Tells a reader that this version was just committed, so that it need not wait for its next poll.
struct VersionNudgeFrame
{
    std::uint64_t version = 0;

    bool operator==(const VersionNudgeFrame &) const = default;
};

} // namespace Fuchsiastep

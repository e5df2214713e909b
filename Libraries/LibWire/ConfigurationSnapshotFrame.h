#pragma once

#include <LibCore/Digest.h>

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// A part of a whole configuration, which travels in several frames in order.
struct ConfigurationSnapshotFrame
{
    std::uint64_t version = 0;
    Digest digest;
    /// Encoded Configuration, compressed, or the next part of it; an empty content ends the snapshot.
    std::string content;

    bool operator==(const ConfigurationSnapshotFrame &) const = default;
};

} // namespace Fuchsiastep

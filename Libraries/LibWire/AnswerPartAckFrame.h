#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// The receiver has the parts of an answer up to a position. Paces the sender.
struct AnswerPartAckFrame
{
    std::uint64_t requestId = 0;
    /// End of the part in the whole body, in bytes.
    std::uint64_t end = 0;

    bool operator==(const AnswerPartAckFrame &) const = default;
};

} // namespace Fuchsiastep

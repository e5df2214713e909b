#pragma once

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// A further part of an answer's body.
struct AnswerPartFrame
{
    std::uint64_t requestId = 0;
    /// Position of \a body in the whole body, in bytes.
    std::uint64_t offset = 0;
    std::string body;
    bool isLast = false;

    bool operator==(const AnswerPartFrame &) const = default;
};

} // namespace Fuchsiastep

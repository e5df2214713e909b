#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// The caller no longer waits for this request.
struct CancelFrame
{
    std::uint64_t requestId = 0;

    bool operator==(const CancelFrame &) const = default;
};

} // namespace Fuchsiastep

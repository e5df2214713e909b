#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// True where the upstream itself says that it failed the request (RFC 9110, 15.6).
constexpr bool isServerError(std::uint16_t status)
{
    constexpr std::uint16_t FirstServerErrorStatus = 500;
    return status >= FirstServerErrorStatus;
}

} // namespace Fuchsiastep

#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// A status that ends a request (RFC 9110, 15). An answer with any other status is none, whoever sends it.
constexpr bool isFinalStatus(unsigned status)
{
    constexpr unsigned First = 200;
    constexpr unsigned Last = 599;
    return status >= First && status <= Last;
}

/// A status that another answer follows (RFC 9110, 15.2).
constexpr bool isInterimStatus(unsigned status)
{
    constexpr unsigned First = 100;
    constexpr unsigned Last = 199;
    return status >= First && status <= Last;
}

} // namespace Fuchsiastep

#pragma once

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// First frame in both directions of a connection.
struct HelloFrame
{
    static constexpr std::uint32_t CurrentProtocol = 3;

    std::uint32_t protocol = CurrentProtocol;
    std::string proxyId;
    std::uint64_t incarnation = 0;
    std::string dataCentre;

    bool operator==(const HelloFrame &) const = default;
};

} // namespace Fuchsiastep

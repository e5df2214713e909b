#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// An IP number and a TCP or UDP port.
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const SocketAddress &) const = default;
    auto operator<=>(const SocketAddress &) const = default;

    /// "127.0.0.1:8080" or "[::1]:8080".
    std::string toString() const;
    /// Reads what toString() writes. Fails with RequestMalformed.
    static Result<SocketAddress> tryParse(std::string_view text);
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>
#include <LibWire/HeaderList.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Fuchsiastep {

/// A whole HTTP/1.1 request or response (RFC 9112).
struct HttpMessage
{
    /// Requests only.
    std::string method;
    /// Requests only: the request target byte for byte as it was received.
    std::string target;
    /// Responses only.
    std::uint16_t status = 0;
    /// End-to-end fields by lower-case name. Fields of one connection are left out.
    HeaderList headers;
    std::string body;
    /// The sender closes the connection after this message.
    bool isLast = false;
    /// How long the sender keeps an idle connection open, where it says so.
    std::optional<Duration> keepAlive;
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/SocketAddress.h>

#include <cstdint>
#include <string>

namespace Fuchsiastep::ControlTool {

/// One request to the control address of a proxy.
struct ControlRequest
{
    SocketAddress proxy;
    std::string method = "GET";
    /// Path and query.
    std::string path;
    std::string body;
};

/// A whole answer, whatever its status.
struct ControlAnswer
{
    std::uint16_t status = 0;
    std::string body;
};

} // namespace Fuchsiastep::ControlTool

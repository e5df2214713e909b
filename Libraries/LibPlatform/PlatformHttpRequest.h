#pragma once

#include <string>

namespace Fuchsiastep {

/// A platform request as it is sent over HTTP.
struct PlatformHttpRequest
{
    std::string method;
    /// Path with percent-encoding, without a query.
    std::string path;
    std::string body;
};

} // namespace Fuchsiastep

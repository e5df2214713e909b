#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <string>

namespace Fuchsiastep {

struct PlatformClientSettings
{
    /// "http://127.0.0.1:8080", without a path.
    std::string baseUrl;
    /// Limit for the whole call, including the wait for a free connection.
    Duration timeout = std::chrono::seconds(1);
    /// Calls on the network at once, and connections kept alive.
    std::size_t maximumConcurrency = 8;
    /// Calls that wait for one of those; further ones fail at once as PlatformUnavailable.
    std::size_t maximumWaiting = 1024;
};

} // namespace Fuchsiastep

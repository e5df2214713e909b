#pragma once

#include "RequestMix.h"

#include <LibCore/Clock.h>

#include <string>
#include <vector>

namespace Fuchsiastep {

struct LoadSettings
{
    /// Base URLs without a path.
    std::vector<std::string> targets;
    std::string service;
    std::string caller;
    /// Requests to send, without the warm-up; 0 where only the duration bounds the run.
    std::uint64_t requests = 1000;
    /// Requests sent first and left out of the report.
    std::uint64_t warmup = 0;
    /// Requests in flight at once.
    std::uint32_t concurrency = 8;
    /// Requests per second, sent whether or not earlier ones were answered; 0 sends the next one after each answer.
    double rate = 0;
    /// Time after which no request is sent; 0 where only the count bounds the run.
    Duration duration {0};
    RequestMix mix;
    Duration deadline = std::chrono::seconds(1);
    std::uint32_t documentBytes = 65'536;
    /// The targets are upstreams and not proxies.
    bool isDirect = false;
    std::uint64_t seed = 1;
};

} // namespace Fuchsiastep

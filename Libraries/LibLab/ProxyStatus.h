#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// What a proxy says of itself at GET /v1/operator/status.
struct ProxyStatus
{
    std::string proxyId;
    bool isReady = false;
    bool isDraining = false;
    bool isReader = false;
    std::uint64_t version = 0;
    std::uint64_t knownVersion = 0;
    std::int64_t adoptedUnixMs = 0;
    std::uint64_t endpoints = 0;
    std::uint64_t members = 0;
    std::uint64_t controlBytesSent = 0;
    std::uint64_t controlMessagesSent = 0;
    std::uint64_t processorMs = 0;
    std::uint64_t residentBytes = 0;

    /// Fails with JsonMalformed or the first wrong field.
    static Result<ProxyStatus> tryParse(std::string_view text);
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/PlatformCodec.h>

#include <cstddef>
#include <functional>
#include <string>

namespace Fuchsiastep {

/// How calls are written as HTTP requests and their answers read.
struct PlatformProtocol
{
    std::function<PlatformHttpRequest(const PlatformRequest &request)> encode;
    /// Fails with PlatformMalformedAnswer, also where the answer does not fit the request.
    std::function<Result<PlatformResponse>(const PlatformRequest &request, unsigned status, std::string_view body)> tryDecode;
    /// Media type of bodies that are not the content of an object.
    std::string mediaType;
    /// Header field of every answer with the era as a decimal number; empty where the platform has none.
    std::string eraHeader;
};

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
    /// A longer answer is refused. Rows and objects of the platform are smaller.
    std::size_t maximumAnswerBytes = 64ULL * 1024 * 1024;
    /// Ends a connection that went silent, so that a watch on it does not hang until its own end.
    Duration silenceLimit = std::chrono::seconds(3);
    PlatformProtocol protocol {encodePlatformRequest, tryDecodePlatformResponse, PlatformMediaType, PlatformEraHeader};
};

} // namespace Fuchsiastep

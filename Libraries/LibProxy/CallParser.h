#pragma once

#include <LibProxy/HttpServer.h>
#include <LibRequest/CoordinatorOutput.h>
#include <LibWire/RequestOutcome.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Fuchsiastep {

/// A well-formed call from a caller.
struct Call
{
    std::uint64_t token = 0;
    std::string caller;
    /// Empty for a call that names its route by host and path.
    std::string service;
    std::string host;
    /// The caller's id of the request, for logs; empty where it gave none.
    std::string traceId;
    std::string method;
    /// Path and query behind the service, beginning with '/'.
    std::string path;
    HeaderList headers;
    std::string key;
    std::optional<Duration> timeLeft;
    std::string body;
};

/// Reads /v1/call/<service>/<path>. Fails with RequestMalformed, CallerNotAllowed or the rejection of the request.
Result<Call> tryParseCall(HttpRequest request);

/// The HTTP form of an answer: the upstream's own for an answered call, else a JSON body that names the code.
HttpAnswer formatCallAnswer(CallerAnswer answer);

} // namespace Fuchsiastep

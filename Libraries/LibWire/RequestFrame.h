#pragma once

#include <LibWire/HeaderList.h>

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// A caller's request on its way to the proxy beside an upstream.
struct RequestFrame
{
    /// Unique on this connection.
    std::uint64_t requestId = 0;
    std::string service;
    /// The upstream that the caller side chose. A proxy beside another upstream refuses the request as not run.
    std::string upstreamId;
    std::string caller;
    std::string method;
    std::string path;
    HeaderList headers;
    /// Idempotency key; empty for a request without one.
    std::string key;
    /// The request may be run more than once.
    bool isRepeatable = false;
    std::uint32_t timeLeftMs = 0;
    /// Run only while nothing else runs on the upstream, because requests like this one crashed upstreams.
    bool isIsolated = false;
    std::string body;
    /// Name of the selector; requests of one selector take similar time.
    std::string selector;
    /// Time until the answer loses use for the caller; 0 for none.
    std::uint32_t targetLeftMs = 0;
    /// The request is declined where it would wait longer than this for a slot; 0 for no limit.
    std::uint32_t maximumWaitMs = 0;
    /// When the frame was sent, on a clock of the sender that has any start; 0 where it is not told.
    std::uint64_t sentAtMs = 0;
    /// The caller's id of the request, for logs.
    std::string traceId;
    /// Workspace whose key the caller sent; empty for none.
    std::string workspace;
    /// The key is certain to be valid for this time from the sending of the frame; 0 where it does not end.
    std::uint32_t authorizedForMs = 0;

    bool operator==(const RequestFrame &) const = default;
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Route.h>
#include <LibConfiguration/Workspace.h>
#include <LibCore/LibCore.h>
#include <LibRequest/DrainRequested.h>
#include <LibWire/AnswerFrame.h>
#include <LibWire/AnswerPartFrame.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Fuchsiastep {

/// Names a caller's request within the proxy. Never used twice.
using CallerToken = std::uint64_t;

/// A caller wants a request run. The route comes from the view that the request keeps.
struct CallerRequest
{
    CallerToken token = 0;
    std::string caller;
    std::string service;
    std::string method;
    std::string path;
    HeaderList headers;
    /// Idempotency key; empty for none.
    std::string key;
    /// The caller's own deadline; the timeout of the route caps it.
    std::optional<Duration> timeLeft;
    std::string body;
    std::shared_ptr<const Route> route;
    /// The caller's id of the request, for logs.
    std::string traceId;
    /// nullptr for none.
    std::shared_ptr<const Workspace> workspace;
    /// The key of the workspace is certain to be valid for requests that start before this, in milliseconds of the clock that
    /// counts suspensions; 0 where that does not end.
    std::uint64_t authorizedUntilMs = 0;
};

/// The caller disconnected. It gets no answer.
struct CallerGone
{
    CallerToken token = 0;
};

/// A connection to the proxy beside an upstream is open and its Hello has arrived. Comes before any PeerAnswer
/// from it; answers from other connections are dropped as crossed.
struct PeerConnected
{
    std::string proxyId;
    std::uint64_t connectionId = 0;
    std::uint64_t incarnation = 0;
};

/// A frame from the proxy beside an upstream.
struct PeerAnswer
{
    std::string proxyId;
    std::uint64_t connectionId = 0;
    std::uint64_t incarnation = 0;
    std::variant<AnswerFrame, AnswerPartFrame> frame;
};

/// The connection that carried requests to this proxy closed. What was sent may or may not have arrived.
struct PeerConnectionLost
{
    std::string proxyId;
    /// Requests that were sent on another connection to the proxy since then are not concerned; nothing for all.
    std::optional<std::uint64_t> connectionId;
};

/// The connection could not be opened, so nothing that waited for it was sent.
struct PeerConnectFailed
{
    std::string proxyId;
    /// As for PeerConnectionLost.
    std::optional<std::uint64_t> connectionId;
};

using CoordinatorInput =
    std::variant<CallerRequest, CallerGone, PeerConnected, PeerAnswer, PeerConnectionLost, PeerConnectFailed, DrainRequested>;

} // namespace Fuchsiastep

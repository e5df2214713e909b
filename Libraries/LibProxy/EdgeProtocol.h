#pragma once

#include <LibHttp/LibHttp.h>
#include <LibPlatform/LibPlatform.h>
#include <LibProxy/CallAuthentication.h>
#include <LibProxy/CallParser.h>
#include <LibProxy/ConfigurationDocument.h>
#include <LibProxy/UpstreamAnnouncement.h>
#include <LibRollout/RolloutProtocol.h>
#include <LibWire/RequestFrame.h>

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace Fuchsiastep {

/// What an upstream's answer says about the request.
enum class UpstreamAnswerKind {
    /// The request ran, and this is its answer.
    Answer,
    /// The upstream refused the request before running it.
    Refusal,
    /// The answer belongs to another request.
    Foreign,
};

/// What the connection of an answer has carried before.
enum class AnswerOrigin {
    /// Nothing: the answer belongs to the first request.
    NewConnection,
    /// Answers of other requests, of which the upstream may write one again.
    UsedConnection,
};

/// Somebody asks whether the proxy serves.
struct ReadinessWanted
{ };

/// An upstream says that it leaves, without saying so in its announcements first.
struct UpstreamDeparture
{
    std::string upstreamId;
    std::optional<UpstreamLifetime> lifetime;
};

/// A request to the control address in the words of the product; monostate where the protocol leaves it to the proxy's own
/// interface, and an error where it is malformed.
using ControlMessage = std::variant<std::monostate, ReadinessWanted, UpstreamAnnouncement, UpstreamDeparture, Error>;

/// How callers, upstreams, operators and the platform speak. The functions only translate; LibProxy provides the project's
/// own protocol, and an adapter may provide that of another platform. They are functions and not a std::variant of
/// protocols, because LibProxy must not depend on its adapters.
struct EdgeProtocol
{
    /// Fails with RequestMalformed, CallerNotAllowed or the rejection of the request.
    std::function<Result<Call>(HttpRequest request)> tryParseCall;
    std::function<HttpAnswer(CallerAnswer answer)> formatAnswer;
    /// The request as it is sent to the upstream. \a timeLeft is what the upstream is granted.
    std::function<HttpMessage(const RequestFrame &request, Duration timeLeft)> formatUpstreamRequest;
    std::function<UpstreamAnswerKind(const RequestFrame &request, const HttpMessage &answer, AnswerOrigin origin)> classifyAnswer;
    WorkspaceHeaders workspaceHeaders;
    /// Upstreams tell in each answer which request it belongs to, so that a repeated answer is recognised.
    bool doAnswersNameRequests = false;
    std::function<ControlMessage(const HttpRequest &request)> readControl;
    /// Reads the operators' document. Fails with DeclarationMalformed. Not set where the configuration is changed through
    /// the proxies.
    std::function<Result<ConfigurationDocument>(std::string_view content)> tryReadDocument;
    /// Key of the row with the document; empty where there is none.
    std::string documentKey;
    RolloutProtocol rollouts;
    PlatformProtocol platform {encodePlatformRequest, tryDecodePlatformResponse, PlatformMediaType, PlatformEraHeader};
};

/// The project's own protocol, as docs/interfaces.md describes it.
EdgeProtocol nativeProtocol();

} // namespace Fuchsiastep

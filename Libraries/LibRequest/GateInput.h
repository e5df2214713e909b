#pragma once

#include <LibRequest/ClaimMessages.h>
#include <LibRequest/DrainRequested.h>
#include <LibWire/RequestFrame.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Fuchsiastep {

/// The upstream beside this proxy announced itself, or announced new limits.
struct UpstreamAnnounced
{
    std::string upstreamId;
    std::string service;
    /// Requests that it runs at once.
    std::uint32_t slots = 1;
    /// Connections that it takes.
    std::uint32_t connections = 1;
    /// A refusal by the upstream means that the request did not run.
    bool doRefusalsMeanNotRun = false;
};

/// The upstream stopped announcing itself. Runs in progress continue.
struct UpstreamLost
{ };

/// Load that the upstream reports itself, in thousandths of its capacity.
struct UpstreamLoadReported
{
    std::uint32_t permille = 0;
};

/// How long large answers wait to leave the instance. Told before a PeerRequest where it matters.
struct TransferBacklog
{
    /// Until a further large answer could begin to leave.
    Duration wait {0};
    /// For each megabyte.
    Duration perMegabyte {0};
};

/// A request from a caller side proxy.
struct PeerRequest
{
    std::uint64_t connectionId = 0;
    RequestFrame frame;
    /// The caller side is this proxy, so that the answer crosses no link.
    bool isLocal = false;
    /// How much longer than usual the request was on its way.
    Duration transitDelay {0};
};

struct PeerCancel
{
    std::uint64_t connectionId = 0;
    std::uint64_t requestId = 0;
};

/// The connection from a caller side proxy closed: its requests are cancelled.
struct PeerDisconnected
{
    std::uint64_t connectionId = 0;
};

/// The upstream's whole answer.
struct UpstreamAnswer
{
    LocalId localId = 0;
    std::uint16_t status = 0;
    HeaderList headers;
    std::string body;
    /// The upstream says that it refused the request before running it.
    bool isRefusedBeforeRun = false;
};

/// There is no answer. Also the end of every aborted request, which holds its slot until then.
struct UpstreamFailed
{
    LocalId localId = 0;
    /// Any byte of the request may have reached the upstream.
    bool isAnyByteSent = true;
    /// AnswerTooLarge is passed on to the caller side; any other reason is OutcomeUnknown there.
    ErrorCode reason = ErrorCode::OutcomeUnknown;
};

/// The upstream process is gone, with everything that it ran. Comes before or instead of UpstreamFailed.
struct UpstreamCrashed
{ };

/// The process was paused: new work is refused until FreezeRecovered.
struct FreezeNoticed
{ };

/// The newest configuration is known again.
struct FreezeRecovered
{ };

using GateInput = std::variant<UpstreamAnnounced,
    UpstreamLost,
    UpstreamLoadReported,
    TransferBacklog,
    PeerRequest,
    PeerCancel,
    PeerDisconnected,
    UpstreamAnswer,
    UpstreamFailed,
    UpstreamCrashed,
    DrainRequested,
    ClaimSettled,
    FreezeNoticed,
    FreezeRecovered>;

} // namespace Fuchsiastep

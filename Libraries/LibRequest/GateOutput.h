#pragma once

#include <LibRequest/ClaimMessages.h>
#include <LibWire/AnswerFrame.h>
#include <LibWire/AnswerPartFrame.h>
#include <LibWire/RequestFrame.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// Run this on the upstream. Ends with UpstreamAnswer, UpstreamFailed or UpstreamCrashed.
struct StartUpstreamRequest
{
    LocalId localId = 0;
    RequestFrame frame;
    /// Time since the request arrived at the gate.
    Duration waited {0};
};

/// Stop the run; its end is still reported by UpstreamFailed or UpstreamAnswer.
struct AbortUpstreamRequest
{
    LocalId localId = 0;
};

/// Send the answer and then its parts on the connection of the caller side.
struct SendAnswer
{
    std::uint64_t connectionId = 0;
    AnswerFrame frame;
    std::vector<AnswerPartFrame> parts;
    /// The caller's id of the request, for logs.
    std::string traceId;
};

/// Nothing is left after a drain. Every answer was given out before; the process exits once its sockets have
/// taken them and ClaimLedger::isIdle().
struct DrainFinished
{ };

/// The upstream crashed while these requests were in flight. CrashSuspects of the proxy has them already.
struct CrashReport
{
    /// See CrashRecord.
    std::uint64_t crashId = 0;
    std::string upstreamId;
    std::string service;
    std::vector<std::uint64_t> fingerprints;
    /// The only request in flight ran in isolation.
    bool wasAlone = false;
};

using GateOutput = std::
    variant<StartUpstreamRequest, AbortUpstreamRequest, SendAnswer, ClaimWanted, ClaimFinished, ClaimAbandoned, DrainFinished, CrashReport>;

} // namespace Fuchsiastep

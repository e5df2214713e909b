#pragma once

#include <LibCore/LibCore.h>
#include <LibPlatform/PlatformCall.h>
#include <LibPlatform/PlatformEra.h>
#include <LibWire/HeaderList.h>
#include <LibWire/RequestOutcome.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Fuchsiastep {

/// Names a request within an UpstreamGate.
using LocalId = std::uint64_t;

/// Gate to ledger: claim the key before the upstream is touched. Settled until the deadline at the latest.
struct ClaimWanted
{
    LocalId localId = 0;
    std::string service;
    std::string key;
    /// Of service, method, path and body; a key belongs to one request.
    Digest requestDigest;
    TimePoint deadline;
};

/// Gate to ledger: the run ended, and this is its outcome (Answered or Unknown).
struct ClaimFinished
{
    LocalId localId = 0;
    RequestOutcome outcome = RequestOutcome::Unknown;
    ErrorCode code = ErrorCode::None;
    std::uint16_t status = 0;
    HeaderList headers;
    std::string body;
};

/// Gate to ledger: the request certainly did not run and will not. The claim is released.
struct ClaimAbandoned
{
    LocalId localId = 0;
};

enum class ClaimVerdict : std::uint8_t {
    /// The claim is this request's own; it may run.
    Owned,
    /// An earlier request with the key ran; its answer is in the message.
    Stored,
    /// This request will not run; the code says why.
    NotRun,
    /// A request with the key may have run. This one will not.
    Unknown,
};

/// Ledger to gate: the end of ClaimWanted, exactly once unless the claim was abandoned.
struct ClaimSettled
{
    LocalId localId = 0;
    ClaimVerdict verdict = ClaimVerdict::Unknown;
    ErrorCode code = ErrorCode::None;
    std::string detail;
    std::uint16_t status = 0;
    HeaderList headers;
    std::string body;
};

using ClaimInput = std::variant<ClaimWanted, ClaimFinished, ClaimAbandoned, PlatformRestored, PlatformReply>;
using ClaimOutput = std::variant<PlatformCall, ClaimSettled>;

} // namespace Fuchsiastep

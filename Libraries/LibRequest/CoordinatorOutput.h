#pragma once

#include <LibCore/LibCore.h>
#include <LibRequest/CoordinatorInput.h>
#include <LibWire/CancelFrame.h>
#include <LibWire/RequestFrame.h>
#include <LibWire/RequestOutcome.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Fuchsiastep {

/// Send on the connection to this proxy; open one where there is none.
struct SendRequest
{
    std::string proxyId;
    SocketAddress address;
    RequestFrame frame;
};

struct SendCancel
{
    std::string proxyId;
    CancelFrame frame;
};

/// The end of a caller's request, exactly once for each token whose caller stayed.
struct CallerAnswer
{
    CallerToken token = 0;
    RequestOutcome outcome = RequestOutcome::Unknown;
    ErrorCode code = ErrorCode::None;
    std::uint16_t status = 0;
    HeaderList headers;
    std::string body;
    std::string detail;
    /// Request frames that were sent for it.
    std::uint32_t tries = 0;
    /// When a request that was not run is likely to find room.
    std::optional<Duration> retryAfter;
    /// The upstream that it was offered to last; empty for none.
    std::string upstreamId;
};

using CoordinatorOutput = std::variant<SendRequest, SendCancel, CallerAnswer>;

} // namespace Fuchsiastep

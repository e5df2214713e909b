#pragma once

#include <LibPlatform/PlatformRequest.h>
#include <LibPlatform/PlatformResponse.h>

#include <cstdint>

namespace Fuchsiastep {

/// Names a call within the decision object that makes it.
using CallId = std::uint64_t;

/// Output of decision code: a call to the platform.
struct PlatformCall
{
    CallId id = 0;
    PlatformRequest request;
};

/// Input of decision code: the answer to a call.
struct PlatformReply
{
    CallId id = 0;
    PlatformResponse response;
};

} // namespace Fuchsiastep

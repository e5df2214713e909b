#pragma once

#include "PlannedRequest.h"

#include <LibCore/Clock.h>
#include <LibWire/RequestOutcome.h>

#include <string>

namespace Fuchsiastep {

/// How one request ended, as the load generator saw it.
struct RequestResult
{
    PlannedRequest request;
    RequestOutcome outcome = RequestOutcome::Unknown;
    /// HTTP status; 0 where there was no complete answer.
    unsigned status = 0;
    /// Content of the header fuchsiastep-code, or a word for what went wrong on the way.
    std::string code;
    std::string body;
    Duration latency {0};
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/ErrorCode.h>
#include <LibWire/HeaderList.h>
#include <LibWire/LoadReport.h>
#include <LibWire/RequestOutcome.h>

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// End of a request: the upstream's answer or the reason why there is none.
struct AnswerFrame
{
    std::uint64_t requestId = 0;
    RequestOutcome outcome = RequestOutcome::Unknown;
    /// ErrorCode::None for an answered request.
    ErrorCode code = ErrorCode::None;
    std::string detail;
    std::uint16_t status = 0;
    HeaderList headers;
    LoadReport load;
    /// Length of the whole body in bytes. What \a body lacks follows in AnswerPart frames.
    std::uint64_t bodyLength = 0;
    std::string body;
    /// The crash that ended the request, for ErrorCode::UpstreamCrashed; 0 otherwise. See CrashRecord.
    std::uint64_t crashId = 0;

    bool operator==(const AnswerFrame &) const = default;
};

} // namespace Fuchsiastep

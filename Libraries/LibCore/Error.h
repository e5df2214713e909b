#pragma once

#include <LibCore/ErrorCode.h>

#include <string>

namespace Fuchsiastep {

/// A failure: its numbered code and a text that names the object, field or peer concerned.
struct Error
{
    ErrorCode code = ErrorCode::None;
    std::string detail;

    bool operator==(const Error &) const = default;
};

/// "405 DigestMismatch: detail", as it is logged and shown to people.
std::string describe(const Error &error);

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Configuration.h>

namespace Fuchsiastep {

/// Value of the row "operation/<operation id>": proof that the operation was committed.
struct OperationRow
{
    /// The version that the operation committed.
    ConfigurationVersion version = 0;

    std::string encode() const;
    /// Fails with PlatformMalformedAnswer.
    static Result<OperationRow> tryDecode(std::string_view bytes);
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Configuration.h>

namespace Fuchsiastep {

/// Value of the row "head": the newest accepted version.
struct HeadRow
{
    ConfigurationVersion version = 0;
    Digest digest;

    bool operator==(const HeadRow &) const = default;

    std::string encode() const;
    /// Fails with PlatformMalformedAnswer.
    static Result<HeadRow> tryDecode(std::string_view bytes);
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Configuration.h>

namespace Fuchsiastep {

/// A configuration version and the digest that tells it from a damaged one.
struct VersionStamp
{
    ConfigurationVersion version = 0;
    Digest digest;

    bool operator==(const VersionStamp &) const = default;
};

} // namespace Fuchsiastep

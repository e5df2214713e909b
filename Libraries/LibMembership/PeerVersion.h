#pragma once

#include <LibMembership/VersionStamp.h>

#include <string>

namespace Fuchsiastep {

/// A peer told, on a probe or in an acknowledgement, which configuration it holds.
struct PeerVersion
{
    std::string peer;
    VersionStamp held;
};

} // namespace Fuchsiastep

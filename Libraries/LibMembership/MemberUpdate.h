#pragma once

#include <LibMembership/MemberRecord.h>

#include <string>

namespace Fuchsiastep {

/// A member record on its way through the gossip.
struct MemberUpdate
{
    MemberRecord record;
    /// Id of the proxy whose own probes failed, for the state Suspect; otherwise empty. It lets receivers count
    /// independent accusers.
    std::string accuser;

    bool operator==(const MemberUpdate &) const = default;
};

} // namespace Fuchsiastep

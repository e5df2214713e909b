#pragma once

#include <LibMembership/MemberRecord.h>

#include <span>
#include <string_view>

namespace Fuchsiastep {

/// One row of the table of member states.
struct MemberStateInfo
{
    MemberState state;
    std::string_view name;
    /// The member counts as present: it is probed and takes part in distribution.
    bool isLive;
    /// The member may be chosen as reader, bridge or contact.
    bool mayHoldRole;
};

/// Every state, in ascending order of its number.
std::span<const MemberStateInfo> memberStateTable();

const MemberStateInfo &memberStateInfo(MemberState state);

} // namespace Fuchsiastep

#include <LibMembership/MemberState.h>

#include <array>

namespace Fuchsiastep {

static constexpr std::array MemberStates {
    MemberStateInfo {MemberState::Joining, "joining", true, false},
    MemberStateInfo {MemberState::Serving, "serving", true, true},
    MemberStateInfo {MemberState::Draining, "draining", true, true},
    MemberStateInfo {MemberState::Suspect, "suspect", true, false},
    MemberStateInfo {MemberState::Left, "left", false, false},
    MemberStateInfo {MemberState::Failed, "failed", false, false},
};

std::span<const MemberStateInfo> memberStateTable()
{
    return MemberStates;
}

const MemberStateInfo &memberStateInfo(MemberState state)
{
    return MemberStates.at(static_cast<std::size_t>(state));
}

} // namespace Fuchsiastep

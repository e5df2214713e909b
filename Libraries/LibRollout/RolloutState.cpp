#include <LibRollout/RolloutState.h>

#include <array>
#include <tuple>

namespace Fuchsiastep {

static constexpr std::array<std::string_view, 4> PhaseNames {"canary", "ramping", "completed", "rolled-back"};

std::string_view nameOf(RolloutPhase phase)
{
    return PhaseNames.at(static_cast<std::size_t>(phase));
}

bool isFinal(RolloutPhase phase)
{
    return phase == RolloutPhase::Completed || phase == RolloutPhase::RolledBack;
}

bool supersedes(const RolloutState &candidate, const RolloutState &current)
{
    return std::tie(candidate.order.revision, candidate.phase, candidate.sharePermille)
        > std::tie(current.order.revision, current.phase, current.sharePermille);
}

} // namespace Fuchsiastep

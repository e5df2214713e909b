#include <LibMembership/DepartedUpstream.h>

#include <tuple>

namespace Fuchsiastep {

bool isLaterDeparture(const std::optional<DepartedUpstream> &candidate, const std::optional<DepartedUpstream> &current)
{
    if (!candidate || !current) {
        return candidate.has_value();
    }
    return std::tie(candidate->incarnation, candidate->sequence) > std::tie(current->incarnation, current->sequence);
}

} // namespace Fuchsiastep

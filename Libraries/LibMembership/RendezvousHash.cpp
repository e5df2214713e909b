#include <LibMembership/RendezvousHash.h>

#include <LibCore/Digest.h>

#include <algorithm>
#include <tuple>

namespace Fuchsiastep {

std::uint64_t rendezvousScore(std::string_view role, std::string_view proxyId)
{
    return stableHash(proxyId, stableHash(role));
}

std::vector<const MemberRecord *> rendezvousMembers(
    const MembershipTable &table, std::string_view dataCentre, std::string_view role, std::size_t count)
{
    struct Candidate
    {
        bool mayHoldRole;
        std::uint64_t score;
        const MemberRecord *record;
    };
    std::vector<Candidate> candidates;
    for (const MemberRecord *record : table.liveMembers(dataCentre)) {
        candidates.push_back({memberStateInfo(record->state).mayHoldRole, rendezvousScore(role, record->proxyId), record});
    }
    const std::size_t chosen = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(),
        candidates.begin() + static_cast<std::ptrdiff_t>(chosen),
        candidates.end(),
        [](const Candidate &left, const Candidate &right) {
            return std::tie(left.mayHoldRole, left.score, left.record->proxyId)
                > std::tie(right.mayHoldRole, right.score, right.record->proxyId);
        });
    std::vector<const MemberRecord *> members;
    for (std::size_t i = 0; i < chosen; ++i) {
        members.push_back(candidates[i].record);
    }
    return members;
}

bool holdsRole(const MembershipTable &table, std::string_view role, std::size_t count)
{
    const auto holders = rendezvousMembers(table, table.self().dataCentre, role, count);
    return std::any_of(holders.begin(), holders.end(), [&](const MemberRecord *holder) { return holder->proxyId == table.self().proxyId; });
}

} // namespace Fuchsiastep

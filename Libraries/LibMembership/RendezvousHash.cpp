#include <LibMembership/RendezvousHash.h>

#include <LibCore/Digest.h>

#include <algorithm>
#include <functional>
#include <tuple>

namespace Fuchsiastep {

std::uint64_t rendezvousScore(std::string_view role, std::string_view proxyId)
{
    return stableHash(proxyId, stableHash(role));
}

/// Bandwidth from which a link counts as fast: half of the best in the data centre. 0 where none is known.
static std::uint32_t fastLinkMbps(const MembershipTable &table, std::string_view dataCentre)
{
    std::uint32_t best = 0;
    for (const MemberRecord *record : table.liveMembers(dataCentre)) {
        best = std::max(best, record->linkMbps);
    }
    return best / 2;
}

namespace {

struct Candidate
{
    bool mayHoldRole;
    bool hasFastLink;
    std::uint64_t score;
    const MemberRecord *record;

    bool operator>(const Candidate &other) const
    {
        return std::tie(mayHoldRole, hasFastLink, score, record->proxyId)
            > std::tie(other.mayHoldRole, other.hasFastLink, other.score, other.record->proxyId);
    }
};

} // namespace

static Candidate candidateOf(const MemberRecord &record, std::string_view role, std::uint32_t fastMbps)
{
    return {memberStateInfo(record.state).mayHoldRole, record.linkMbps >= fastMbps, rendezvousScore(role, record.proxyId), &record};
}

/// The \a count best candidates, best first.
static std::vector<Candidate> bestCandidates(
    const MembershipTable &table, std::string_view dataCentre, std::string_view role, std::size_t count)
{
    std::vector<Candidate> candidates;
    const std::uint32_t fastMbps = fastLinkMbps(table, dataCentre);
    for (const MemberRecord *record : table.liveMembers(dataCentre)) {
        candidates.push_back(candidateOf(*record, role, fastMbps));
    }
    const auto chosen = candidates.begin() + static_cast<std::ptrdiff_t>(std::min(count, candidates.size()));
    std::partial_sort(candidates.begin(), chosen, candidates.end(), std::greater<Candidate>());
    candidates.erase(chosen, candidates.end());
    return candidates;
}

static std::vector<const MemberRecord *> recordsOf(const std::vector<Candidate> &candidates)
{
    std::vector<const MemberRecord *> members;
    members.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        members.push_back(candidate.record);
    }
    return members;
}

std::vector<const MemberRecord *> rendezvousMembers(
    const MembershipTable &table, std::string_view dataCentre, std::string_view role, std::size_t count)
{
    return recordsOf(bestCandidates(table, dataCentre, role, count));
}

std::vector<const MemberRecord *> readersOf(const MembershipTable &table, std::string_view dataCentre, std::size_t count)
{
    std::vector<Candidate> readers = bestCandidates(table, dataCentre, ReaderRoleName, count);
    while (readers.size() > MinimumReaders && !readers.back().hasFastLink) {
        readers.pop_back();
    }
    return recordsOf(readers);
}

bool goesBefore(const MembershipTable &table, std::string_view role, std::string_view left, std::string_view right)
{
    const MemberRecord *leftRecord = table.find(left);
    const MemberRecord *rightRecord = table.find(right);
    if (leftRecord == nullptr || rightRecord == nullptr) {
        return leftRecord != nullptr;
    }
    const std::uint32_t fastMbps = fastLinkMbps(table, table.self().dataCentre);
    return candidateOf(*leftRecord, role, fastMbps) > candidateOf(*rightRecord, role, fastMbps);
}

bool holdsRole(const MembershipTable &table, std::string_view role, std::size_t count)
{
    const auto holders = rendezvousMembers(table, table.self().dataCentre, role, count);
    return std::any_of(holders.begin(), holders.end(), [&](const MemberRecord *holder) { return holder->proxyId == table.self().proxyId; });
}

} // namespace Fuchsiastep

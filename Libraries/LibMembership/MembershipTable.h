#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/MemberChange.h>
#include <LibMembership/MemberState.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// True where \a candidate replaces \a current: higher incarnation, then sequence, then state.
bool supersedes(const MemberRecord &candidate, const MemberRecord &current);

/// Every member that a proxy knows, itself included. Records of members that left or failed are kept for a while,
/// so that an older record on its way does not bring them back.
class MembershipTable
{
public:
    static constexpr Duration DefaultTombstoneTime = std::chrono::minutes(10);

    MembershipTable(const MemberRecord &self, const Clock &clock, Duration tombstoneTime = DefaultTombstoneTime);

    const MemberRecord &self() const;

    /// Stores \a record where it supersedes the one held, and reports that; nothing where it does not. The later departure of
    /// the two is kept in each case, and reported where it is news.
    std::optional<MemberChange> merge(MemberRecord record);
    /// Forgets the members that left or failed longer than the tombstone time ago, and returns their records.
    std::vector<MemberRecord> expireTombstones();

    /// nullptr where the member is not known. The pointer is valid until the table changes.
    const MemberRecord *find(std::string_view proxyId) const;
    /// The proxy beside an upstream; nullptr where no live member has it.
    const MemberRecord *findUpstream(std::string_view upstreamId) const;
    /// Live members of a data centre by proxy id, this proxy included.
    /// The list is valid until the table changes.
    const std::vector<const MemberRecord *> &liveMembers(std::string_view dataCentre) const;
    /// Live members of all data centres, this proxy included.
    std::size_t liveCount() const;
    /// Live members of the own data centre without this proxy.
    std::vector<const MemberRecord *> livePeers() const;
    /// Members of the own data centre that failed and are still remembered.
    std::vector<const MemberRecord *> failedPeers() const;
    std::vector<std::string> dataCentres() const;
    std::vector<MemberRecord> records() const;

    /// Counts the changes of the table.
    std::uint64_t revision() const
    {
        return m_revision;
    }
    /// Records of a data centre that changed after \a revision.
    std::vector<MemberRecord> changedSince(std::string_view dataCentre, std::uint64_t revision) const;

private:
    struct Entry
    {
        MemberRecord record;
        std::uint64_t revision = 0;
        TimePoint changedAt;
    };

    /// Members of one data centre. Records stay where they are while the member is known.
    struct DataCentreMembers
    {
        std::map<std::string, const MemberRecord *, std::less<>> records;
        std::map<std::uint64_t, const MemberRecord *> byRevision;
        /// The live members by proxy id. Decision code asks for them several times a second, the table changes rarely.
        mutable std::vector<const MemberRecord *> live;
        mutable bool isLiveCurrent = false;
    };

    void index(const Entry &entry);
    void unindex(const Entry &entry);
    template<typename Predicate>
    std::vector<const MemberRecord *> select(std::string_view dataCentre, Predicate isWanted) const;

    const Clock &m_clock;
    Duration m_tombstoneTime;
    std::string m_selfId;
    std::uint64_t m_revision = 0;
    std::map<std::string, Entry, std::less<>> m_entries;
    std::map<std::string, DataCentreMembers, std::less<>> m_byDataCentre;
    std::map<std::string, std::string, std::less<>> m_byUpstream;
};

} // namespace Fuchsiastep

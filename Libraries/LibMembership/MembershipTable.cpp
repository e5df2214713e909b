#include <LibMembership/MembershipTable.h>

#include <tuple>

namespace Fuchsiastep {

bool supersedes(const MemberRecord &candidate, const MemberRecord &current)
{
    return std::tie(candidate.incarnation, candidate.sequence, candidate.state)
        > std::tie(current.incarnation, current.sequence, current.state);
}

MembershipTable::MembershipTable(const MemberRecord &self, const Clock &clock, Duration tombstoneTime)
    : m_clock(clock), m_tombstoneTime(tombstoneTime), m_selfId(self.proxyId)
{
    merge(self);
}

const MemberRecord &MembershipTable::self() const
{
    return m_entries.find(m_selfId)->second.record;
}

std::optional<MemberChange> MembershipTable::merge(MemberRecord record)
{
    const auto found = m_entries.find(record.proxyId);
    const bool isKnown = found != m_entries.end();
    if (isKnown) {
        const MemberRecord &current = found->second.record;
        const bool isNewDeparture = isLaterDeparture(record.departed, current.departed);
        const std::optional<DepartedUpstream> departed = isNewDeparture ? record.departed : current.departed;
        if (!supersedes(record, current)) {
            if (!isNewDeparture) {
                return std::nullopt;
            }
            record = current;
        }
        record.departed = departed;
    }
    MemberChange change {isKnown ? std::optional(found->second.record) : std::nullopt, record};
    if (isKnown) {
        unindex(found->second);
    }
    const auto entry = m_entries.insert_or_assign(record.proxyId, Entry {record, ++m_revision, m_clock.now()}).first;
    index(entry->second);
    return change;
}

std::vector<MemberRecord> MembershipTable::expireTombstones()
{
    std::vector<MemberRecord> forgotten;
    const TimePoint limit = m_clock.now() - m_tombstoneTime;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const bool isKept = memberStateInfo(entry->second.record.state).isLive || entry->second.changedAt > limit;
        if (isKept || entry->first == m_selfId) {
            ++entry;
            continue;
        }
        unindex(entry->second);
        forgotten.push_back(std::move(entry->second.record));
        entry = m_entries.erase(entry);
    }
    return forgotten;
}

const MemberRecord *MembershipTable::find(std::string_view proxyId) const
{
    const auto found = m_entries.find(proxyId);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

const MemberRecord *MembershipTable::findUpstream(std::string_view upstreamId) const
{
    const auto found = m_byUpstream.find(upstreamId);
    return found == m_byUpstream.end() ? nullptr : find(found->second);
}

const std::vector<const MemberRecord *> &MembershipTable::liveMembers(std::string_view dataCentre) const
{
    static const std::vector<const MemberRecord *> None;
    const auto group = m_byDataCentre.find(dataCentre);
    if (group == m_byDataCentre.end()) {
        return None;
    }
    if (!group->second.isLiveCurrent) {
        group->second.live = select(dataCentre, [](const MemberRecord &record) { return memberStateInfo(record.state).isLive; });
        group->second.isLiveCurrent = true;
    }
    return group->second.live;
}

std::size_t MembershipTable::liveCount() const
{
    std::size_t count = 0;
    for (const auto &[name, group] : m_byDataCentre) {
        count += liveMembers(name).size();
    }
    return count;
}

std::vector<const MemberRecord *> MembershipTable::livePeers() const
{
    std::vector<const MemberRecord *> peers = liveMembers(self().dataCentre);
    std::erase(peers, &self());
    return peers;
}

std::vector<const MemberRecord *> MembershipTable::failedPeers() const
{
    return select(self().dataCentre, [](const MemberRecord &record) { return record.state == MemberState::Failed; });
}

std::vector<std::string> MembershipTable::dataCentres() const
{
    std::vector<std::string> names;
    for (const auto &[name, group] : m_byDataCentre) {
        names.push_back(name);
    }
    return names;
}

std::vector<MemberRecord> MembershipTable::records() const
{
    std::vector<MemberRecord> records;
    records.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        records.push_back(entry.record);
    }
    return records;
}

std::vector<MemberRecord> MembershipTable::changedSince(std::string_view dataCentre, std::uint64_t revision) const
{
    std::vector<MemberRecord> changed;
    const auto group = m_byDataCentre.find(dataCentre);
    if (group == m_byDataCentre.end()) {
        return changed;
    }
    const auto &byRevision = group->second.byRevision;
    for (auto record = byRevision.upper_bound(revision); record != byRevision.end(); ++record) {
        changed.push_back(*record->second);
    }
    return changed;
}

template<typename Predicate>
std::vector<const MemberRecord *> MembershipTable::select(std::string_view dataCentre, Predicate isWanted) const
{
    std::vector<const MemberRecord *> members;
    const auto group = m_byDataCentre.find(dataCentre);
    if (group == m_byDataCentre.end()) {
        return members;
    }
    for (const auto &[id, record] : group->second.records) {
        if (isWanted(*record)) {
            members.push_back(record);
        }
    }
    return members;
}

void MembershipTable::index(const Entry &entry)
{
    const MemberRecord &record = entry.record;
    DataCentreMembers &group = m_byDataCentre[record.dataCentre];
    group.records[record.proxyId] = &record;
    group.byRevision[entry.revision] = &record;
    group.isLiveCurrent = false;
    if (record.endpoint && memberStateInfo(record.state).isLive) {
        m_byUpstream[record.endpoint->upstreamId] = record.proxyId;
    }
}

void MembershipTable::unindex(const Entry &entry)
{
    const MemberRecord &record = entry.record;
    const auto group = m_byDataCentre.find(record.dataCentre);
    group->second.records.erase(record.proxyId);
    group->second.byRevision.erase(entry.revision);
    group->second.isLiveCurrent = false;
    if (group->second.records.empty()) {
        m_byDataCentre.erase(group);
    }
    if (!record.endpoint) {
        return;
    }
    const auto upstream = m_byUpstream.find(record.endpoint->upstreamId);
    if (upstream != m_byUpstream.end() && upstream->second == record.proxyId) {
        m_byUpstream.erase(upstream);
    }
}

} // namespace Fuchsiastep

#include <LibMembership/HoldStep.h>

#include <LibCore/Compression.h>
#include <LibMembership/RendezvousHash.h>

#include <algorithm>

namespace Fuchsiastep {

ConfigurationPushFrame pushFrame(const ConfigurationDelta &delta)
{
    return {delta.baseVersion, delta.targetVersion, delta.baseDigest, delta.targetDigest, compress(delta.encode())};
}

HoldStep::HoldStep(const DistributorSettings &settings, const MembershipTable &table, ConfigurationDelta delta, TimePoint now)
    : m_settings(settings)
    , m_table(table)
    , m_delta(std::move(delta))
    , m_push(pushFrame(m_delta))
    , m_deadline(now + settings.holdTimeout)
    , m_nextAsk(now)
{ }

std::vector<DistributorOutput> HoldStep::advance(TimePoint now)
{
    std::vector<DistributorOutput> outputs;
    if (now < m_nextAsk || isFinished(now)) {
        return outputs;
    }
    m_nextAsk = now + m_settings.ackTimeout;
    std::size_t missing = wantedHolders() - std::min(wantedHolders(), m_holders.size());
    const MemberRecord &self = m_table.self();
    const auto members = rendezvousMembers(m_table, self.dataCentre, ReaderRoleName, m_asked.size() + missing + 1);
    const auto ask = [&](const MemberRecord &member) {
        if (missing == 0 || member.proxyId == self.proxyId || m_holders.contains(member.proxyId)) {
            return;
        }
        --missing;
        m_asked.insert(member.proxyId);
        outputs.emplace_back(SendFrame {member.proxyId, m_push});
    };
    for (const MemberRecord *member : members) {
        if (!m_asked.contains(member->proxyId)) {
            ask(*member);
        }
    }
    // Where no new member is left, the frames may have been lost.
    for (const MemberRecord *member : members) {
        ask(*member);
    }
    return outputs;
}

void HoldStep::acknowledged(const std::string &peer, ConfigurationVersion version)
{
    if (version >= m_delta.targetVersion && m_asked.contains(peer)) {
        m_holders.insert(peer);
    }
}

bool HoldStep::isFinished(TimePoint now) const
{
    return m_holders.size() >= wantedHolders() || now >= m_deadline;
}

TimePoint HoldStep::nextDeadline() const
{
    return std::min(m_deadline, m_nextAsk);
}

std::size_t HoldStep::wantedHolders() const
{
    return std::min(m_settings.holdersBeforeAdoption, m_table.livePeers().size());
}

} // namespace Fuchsiastep

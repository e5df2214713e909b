#include <LibMembership/CrashSuspectSync.h>

#include <LibCore/Result.h>
#include <LibMembership/CrashSuspectCodec.h>
#include <LibMembership/RendezvousHash.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

CrashSuspectSync::CrashSuspectSync(
    CrashSuspectSyncSettings settings, const MembershipTable &table, const CrashSuspectSet &suspects, const Clock &clock, Random &random)
    : m_settings(settings), m_table(table), m_suspects(suspects), m_clock(clock), m_random(random), m_nextCheck(clock.now())
{ }

std::vector<CrashSuspectSyncOutput> CrashSuspectSync::handle(const CrashSuspectSyncInput &input)
{
    std::visit([this](const auto &message) { accept(message); }, input);
    return std::exchange(m_outputs, {});
}

std::vector<CrashSuspectSyncOutput> CrashSuspectSync::advance()
{
    const std::optional<TimePoint> due = nextDeadline();
    if (!due || m_clock.now() < *due) {
        return {};
    }
    m_checkedRevision = m_suspects.revision();
    m_nextCheck = m_clock.now() + m_settings.checkPeriod;
    if (!holdsRole(m_table, BridgeRoleName)) {
        m_links.clear();
        return {};
    }
    for (const std::string &dataCentre : m_table.dataCentres()) {
        if (dataCentre != m_table.self().dataCentre) {
            update(dataCentre, m_links[dataCentre]);
        }
    }
    return std::exchange(m_outputs, {});
}

std::optional<TimePoint> CrashSuspectSync::nextDeadline() const
{
    if (m_suspects.revision() == 0) {
        return std::nullopt;
    }
    return m_suspects.revision() != m_checkedRevision ? m_clock.now() : m_nextCheck;
}

void CrashSuspectSync::accept(const PeerFrame &frame)
{
    if (const auto *ack = std::get_if<CrashSuspectsAckFrame>(&frame.frame)) {
        acceptAck(frame.peer, ack->revision);
        return;
    }
    if (std::holds_alternative<CrashSuspectsQueryFrame>(frame.frame) && m_suspects.size() > 0) {
        m_outputs.emplace_back(SendFrame {frame.peer, CrashSuspectsFrame {encodeCrashSuspects(m_suspects.entries()), 0}});
    }
    const auto *suspects = std::get_if<CrashSuspectsFrame>(&frame.frame);
    if (suspects == nullptr) {
        return;
    }
    Result<std::vector<CrashSuspectEntry>> entries = tryDecodeCrashSuspects(suspects->entries);
    if (isError(entries)) {
        m_outputs.emplace_back(CrashSuspectsRejected {frame.peer, errorOf(entries)});
        return;
    }
    const bool isFromOtherDataCentre = suspects->revision != 0;
    m_outputs.emplace_back(MergeCrashSuspects {valueOf(std::move(entries)), isFromOtherDataCentre});
    if (isFromOtherDataCentre) {
        m_outputs.emplace_back(SendFrame {frame.peer, CrashSuspectsAckFrame {suspects->revision}});
    }
}

void CrashSuspectSync::acceptAck(const std::string &peer, std::uint64_t revision)
{
    for (auto &[dataCentre, link] : m_links) {
        if (link.peer == peer && link.sentAt && link.sentRevision == revision) {
            link.acknowledgedRevision = revision;
            link.sentAt.reset();
        }
    }
}

void CrashSuspectSync::update(const std::string &dataCentre, Link &link)
{
    const TimePoint now = m_clock.now();
    if (link.sentAt && now - *link.sentAt >= m_settings.ackTimeout) {
        link.peer.clear();
    }
    choosePeer(dataCentre, link);
    const bool isKnownThere = link.acknowledgedRevision >= m_suspects.revision();
    if (link.peer.empty() || isKnownThere) {
        return;
    }
    m_nextCheck = std::min(m_nextCheck, link.sentAt.value_or(now) + m_settings.ackTimeout);
    if (link.sentAt && link.sentRevision == m_suspects.revision()) {
        return;
    }
    const std::string changed = encodeCrashSuspects(m_suspects.changedSince(link.acknowledgedRevision));
    link.sentRevision = m_suspects.revision();
    link.sentAt = now;
    m_outputs.emplace_back(SendFrame {link.peer, CrashSuspectsFrame {changed, link.sentRevision}});
}

void CrashSuspectSync::choosePeer(const std::string &dataCentre, Link &link)
{
    const MemberRecord *current = m_table.find(link.peer);
    // A restarted bridge has lost its entries, and its neighbours as well where they failed together.
    if (current != nullptr && memberStateInfo(current->state).isLive && current->incarnation == link.incarnation) {
        return;
    }
    link = {};
    const auto bridges = rendezvousMembers(m_table, dataCentre, BridgeRoleName, RoleHolders);
    if (!bridges.empty()) {
        const MemberRecord &bridge = *bridges[m_random.below(bridges.size())];
        link.peer = bridge.proxyId;
        link.incarnation = bridge.incarnation;
    }
}

} // namespace Fuchsiastep

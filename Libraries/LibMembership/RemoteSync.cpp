#include <LibMembership/RemoteSync.h>

#include <LibCore/Result.h>
#include <LibMembership/MemberRecordCodec.h>
#include <LibMembership/RendezvousHash.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

RemoteSync::RemoteSync(RemoteSyncSettings settings, const MembershipTable &table, const Clock &clock, Random &random)
    : m_settings(settings)
    , m_table(table)
    , m_clock(clock)
    , m_random(random)
    , m_nextExchange(clock.now() + random.jitter(settings.exchangePeriod))
{ }

std::vector<RemoteSyncOutput> RemoteSync::handle(const RemoteSyncInput &input)
{
    std::visit([this](const auto &message) { accept(message); }, input);
    return std::exchange(m_outputs, {});
}

std::vector<RemoteSyncOutput> RemoteSync::advance()
{
    if (m_clock.now() < m_nextExchange) {
        return {};
    }
    m_nextExchange = m_clock.now() + m_settings.exchangePeriod;
    if (!holdsRole(m_table, BridgeRoleName)) {
        m_links.clear();
        return {};
    }
    for (const std::string &dataCentre : m_table.dataCentres()) {
        if (dataCentre != m_table.self().dataCentre) {
            Link &link = m_links.try_emplace(dataCentre, Link {.answeredAt = m_clock.now()}).first->second;
            checkTimeout(dataCentre, link);
            exchange(dataCentre, link);
        }
    }
    return std::exchange(m_outputs, {});
}

std::optional<TimePoint> RemoteSync::nextDeadline() const
{
    return m_nextExchange;
}

bool RemoteSync::isReachable(const std::string &dataCentre) const
{
    const auto link = m_links.find(dataCentre);
    return link == m_links.end() || link->second.isReachable;
}

void RemoteSync::accept(const PeerFrame &frame)
{
    const auto *sync = std::get_if<MembershipSyncFrame>(&frame.frame);
    if (sync == nullptr) {
        return;
    }
    Result<MemberSync> content = tryDecodeMemberSync(sync->records);
    if (isError(content)) {
        return;
    }
    if (valueOf(content).kind == MemberSyncKind::ExchangeAnswer) {
        acceptAnswer(frame.peer);
    }
    if (valueOf(content).kind == MemberSyncKind::Exchange) {
        m_outputs.emplace_back(MergeRecords {valueOf(std::move(content)).records});
        if (sync->wantsAnswer) {
            m_outputs.emplace_back(
                SendFrame {frame.peer, MembershipSyncFrame {encodeMemberSync({MemberSyncKind::ExchangeAnswer, {}}).front(), false}});
        }
    }
}

void RemoteSync::acceptAnswer(const std::string &peer)
{
    for (auto &[dataCentre, link] : m_links) {
        if (link.peer != peer || !link.sentAt) {
            continue;
        }
        link.confirmedRevision = link.sentRevision;
        link.sentAt.reset();
        link.answeredAt = m_clock.now();
        setReachable(dataCentre, link, true);
    }
}

void RemoteSync::checkTimeout(const std::string &dataCentre, Link &link)
{
    const TimePoint now = m_clock.now();
    if (link.sentAt && now - *link.sentAt >= m_settings.answerTimeout) {
        // Whether the records arrived is unknown, and a late answer could confirm the wrong exchange, so that the
        // next bridge starts with all records.
        link.peer.clear();
        link.sentAt.reset();
    }
    if (now - link.answeredAt >= m_settings.unreachableAfter) {
        setReachable(dataCentre, link, false);
    }
}

void RemoteSync::exchange(const std::string &dataCentre, Link &link)
{
    if (link.sentAt) {
        return;
    }
    choosePeer(dataCentre, link);
    if (link.peer.empty()) {
        return;
    }
    link.sentRevision = m_table.revision();
    link.sentAt = m_clock.now();
    const auto changed = m_table.changedSince(m_table.self().dataCentre, link.confirmedRevision);
    std::vector<std::string> parts = encodeMemberSync({MemberSyncKind::Exchange, changed});
    for (std::size_t i = 0; i < parts.size(); ++i) {
        // Frames of one connection arrive in order, so the answer to the last part confirms all of them.
        m_outputs.emplace_back(SendFrame {link.peer, MembershipSyncFrame {std::move(parts[i]), i + 1 == parts.size()}});
    }
}

void RemoteSync::choosePeer(const std::string &dataCentre, Link &link)
{
    const MemberRecord *current = m_table.find(link.peer);
    if (current != nullptr && memberStateInfo(current->state).isLive) {
        return;
    }
    link.peer.clear();
    link.confirmedRevision = 0;
    const auto bridges = rendezvousMembers(m_table, dataCentre, BridgeRoleName, RoleHolders);
    if (!bridges.empty()) {
        link.peer = bridges[m_random.below(bridges.size())]->proxyId;
    }
}

void RemoteSync::setReachable(const std::string &dataCentre, Link &link, bool isReachable)
{
    if (link.isReachable == isReachable) {
        return;
    }
    link.isReachable = isReachable;
    m_outputs.emplace_back(DataCentreReachability {dataCentre, isReachable});
}

} // namespace Fuchsiastep

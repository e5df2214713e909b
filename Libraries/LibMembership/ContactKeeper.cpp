#include <LibMembership/ContactKeeper.h>

#include <LibCore/Result.h>
#include <LibMembership/CrashSuspectCodec.h>
#include <LibMembership/MemberRecordCodec.h>
#include <LibMembership/RendezvousHash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Fuchsiastep {

ContactKeeper::ContactKeeper(
    ContactKeeperSettings settings, const MembershipTable &table, const CrashSuspectSet &suspects, const Clock &clock, Random &random)
    : m_settings(std::move(settings))
    , m_table(table)
    , m_suspects(suspects)
    , m_clock(clock)
    , m_random(random)
    , m_backoff(m_settings.firstBackoff, m_settings.backoffCap)
    , m_nextScan(clock.now() + m_backoff.next(random))
    , m_nextRefresh(clock.now() + m_settings.refreshPeriod)
    , m_nextResync(clock.now() + m_settings.refreshPeriod + random.jitter(m_settings.refreshPeriod))
{ }

std::vector<ContactKeeperOutput> ContactKeeper::handle(const ContactKeeperInput &input)
{
    std::visit([this](const auto &message) { accept(message); }, input);
    return takeOutputs();
}

std::vector<ContactKeeperOutput> ContactKeeper::advance()
{
    const TimePoint now = m_clock.now();
    if (m_nextScan && now >= *m_nextScan) {
        m_nextScan = now + m_settings.answerTimeout + m_backoff.next(m_random);
        scan();
    }
    if (now >= m_nextRefresh) {
        m_nextRefresh = now + m_settings.refreshPeriod;
        refresh();
    }
    if (now >= m_nextResync) {
        resync();
    }
    return takeOutputs();
}

std::optional<TimePoint> ContactKeeper::nextDeadline() const
{
    const TimePoint next = std::min(m_nextRefresh, m_nextResync);
    return std::min(next, m_nextScan.value_or(next));
}

void ContactKeeper::accept(const PlatformReply &reply)
{
    if (m_scanCall == reply.id) {
        m_scanCall.reset();
        scanned(reply.response);
    }
}

void ContactKeeper::accept(const PeerFrame &frame)
{
    const auto *sync = std::get_if<MembershipSyncFrame>(&frame.frame);
    if (sync == nullptr) {
        return;
    }
    const Result<MemberSync> content = tryDecodeMemberSync(sync->records);
    if (isError(content)) {
        return;
    }
    if (valueOf(content).kind == MemberSyncKind::JoinRequest) {
        answerJoin(frame.peer, valueOf(content));
    }
    if (valueOf(content).kind == MemberSyncKind::JoinAnswer) {
        acceptJoinAnswer(valueOf(content));
    }
}

void ContactKeeper::accept(const PlatformRestored &)
{
    // The copy may name members that have gone, and not those that came since.
    m_nextRefresh = std::min(m_nextRefresh, m_clock.now() + m_random.jitter(m_settings.restoreSpread));
}

void ContactKeeper::scanned(const PlatformResponse &response)
{
    const auto *rows = std::get_if<Rows>(&response);
    std::vector<Contact> contacts;
    for (const SocketAddress &seed : m_settings.seeds) {
        contacts.push_back({m_table.self().dataCentre, seed});
    }
    if (rows != nullptr) {
        for (const Row &row : rows->rows) {
            if (row.key == CrashSuspectsKey) {
                m_outputs.emplace_back(CrashSuspectRow {row});
            } else if (std::optional<Contact> contact = contactOfRow(row)) {
                contacts.push_back(std::move(*contact));
            } else {
                m_outputs.emplace_back(ContactRejected {row.key});
            }
        }
    }
    std::erase_if(contacts, [this](const Contact &contact) { return contact.address == m_table.self().address; });
    // The answer of a neighbour names the members of every data centre, so that others are asked only where no
    // neighbour can be, or where none here knows them.
    const bool hasNeighbour = std::any_of(
        contacts.begin(), contacts.end(), [this](const Contact &contact) { return contact.dataCentre == m_table.self().dataCentre; });
    if (m_isJoined || !hasNeighbour) {
        askUnknownDataCentres(contacts);
    }
    if (!m_isJoined) {
        askForCrashSuspects(contacts);
        askContacts(std::move(contacts));
        // The first members of a data centre find each other only where they write contact rows before they have joined.
        if (rows != nullptr) {
            refresh();
        }
    }
}

void ContactKeeper::answerJoin(const std::string &peer, const MemberSync &request)
{
    for (std::string &part : encodeMemberSync({MemberSyncKind::JoinAnswer, m_table.records()})) {
        m_outputs.emplace_back(SendFrame {peer, MembershipSyncFrame {std::move(part), false}});
    }
    if (m_suspects.size() > 0) {
        m_outputs.emplace_back(SendFrame {peer, CrashSuspectsFrame {encodeCrashSuspects(m_suspects.entries()), 0}});
    }
    m_outputs.emplace_back(MergeRecords {request.records});
}

void ContactKeeper::acceptJoinAnswer(const MemberSync &answer)
{
    m_outputs.emplace_back(MergeRecords {answer.records});
    const std::string &dataCentre = m_table.self().dataCentre;
    const bool isNeighbour = std::any_of(answer.records.begin(), answer.records.end(), [&](const MemberRecord &record) {
        return record.dataCentre == dataCentre && record.proxyId != m_table.self().proxyId && memberStateInfo(record.state).isLive;
    });
    // An answer from another data centre alone leaves the neighbours unknown, so the search for them goes on.
    if (m_isJoined || !isNeighbour) {
        return;
    }
    m_isJoined = true;
    m_nextScan.reset();
    m_nextRefresh = m_clock.now() + m_random.jitter(m_settings.refreshPeriod);
    m_outputs.emplace_back(JoinCompleted {answer.records.size()});
}

void ContactKeeper::scan()
{
    m_scanCall = m_nextCall;
    constexpr std::uint32_t MaximumRows = 1000;
    call(ScanRows {std::string(ContactPrefix), {}, MaximumRows});
}

void ContactKeeper::askContacts(std::vector<Contact> contacts)
{
    for (std::size_t i = contacts.size(); i > 1; --i) {
        std::swap(contacts[i - 1], contacts[m_random.below(i)]);
    }
    std::stable_partition(
        contacts.begin(), contacts.end(), [this](const Contact &contact) { return contact.dataCentre == m_table.self().dataCentre; });
    contacts.resize(std::min(contacts.size(), m_settings.contactsAsked));
    for (const Contact &contact : contacts) {
        m_outputs.emplace_back(SendFrameToAddress {contact.address, joinRequest()});
    }
}

void ContactKeeper::askForCrashSuspects(const std::vector<Contact> &contacts)
{
    // The neighbours may have restarted together with this proxy.
    std::vector<SocketAddress> addresses;
    for (const Contact &contact : contacts) {
        if (contact.dataCentre != m_table.self().dataCentre) {
            addresses.push_back(contact.address);
        }
    }
    if (!addresses.empty()) {
        m_outputs.emplace_back(SendFrameToAddress {addresses[m_random.below(addresses.size())], CrashSuspectsQueryFrame {}});
    }
}

void ContactKeeper::askUnknownDataCentres(const std::vector<Contact> &contacts)
{
    // One contact of each: every answer holds all records of the fleet.
    std::map<std::string, std::vector<SocketAddress>> unknown;
    for (const Contact &contact : contacts) {
        if (contact.dataCentre != m_table.self().dataCentre && m_table.liveMembers(contact.dataCentre).empty()) {
            unknown[contact.dataCentre].push_back(contact.address);
        }
    }
    for (const auto &[dataCentre, addresses] : unknown) {
        m_outputs.emplace_back(SendFrameToAddress {addresses[m_random.below(addresses.size())], joinRequest()});
    }
}

void ContactKeeper::refresh()
{
    const std::vector<std::size_t> slots = ownSlots();
    if (slots.empty()) {
        return;
    }
    Transaction transaction;
    for (const std::size_t slot : slots) {
        transaction.writes.push_back({contactKey(m_table.self().dataCentre, slot), m_table.self().address.toString()});
    }
    call(std::move(transaction));
    // Contacts look for data centres and neighbours that nobody here knows yet, for example after a partition.
    if (m_isJoined) {
        scan();
    }
}

void ContactKeeper::resync()
{
    const auto members = static_cast<Duration::rep>(m_table.records().size());
    const Duration period = std::max(m_settings.refreshPeriod, m_settings.resyncTimePerMember * members);
    m_nextResync = m_clock.now() + period / 2 + m_random.jitter(period);
    const auto peers = m_table.livePeers();
    if (!peers.empty()) {
        m_outputs.emplace_back(SendFrame {peers[m_random.below(peers.size())]->proxyId, joinRequest()});
    }
}

void ContactKeeper::call(PlatformRequest request)
{
    m_outputs.emplace_back(PlatformCall {m_nextCall++, std::move(request)});
}

Frame ContactKeeper::joinRequest() const
{
    return MembershipSyncFrame {encodeMemberSync({MemberSyncKind::JoinRequest, {m_table.self()}}).front(), true};
}

std::vector<std::size_t> ContactKeeper::ownSlots() const
{
    std::vector<std::size_t> slots;
    for (std::size_t slot = 0; slot < ContactSlots; ++slot) {
        if (holdsRole(m_table, contactKey(m_table.self().dataCentre, slot), 1)) {
            slots.push_back(slot);
        }
    }
    return slots;
}

std::vector<ContactKeeperOutput> ContactKeeper::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

} // namespace Fuchsiastep

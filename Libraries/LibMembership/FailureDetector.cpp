#include <LibMembership/FailureDetector.h>

#include <LibCore/Result.h>
#include <LibMembership/MemberRecordCodec.h>
#include <LibMembership/ProbeCodec.h>
#include <LibMembership/RendezvousHash.h>
#include <LibWire/DatagramSocket.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

/// Array headers grow by this many bytes at most when a datagram is filled.
static constexpr std::size_t ArrayGrowthBytes = 8;
/// Bytes of a datagram beside the two records that it always has room for.
static constexpr std::size_t ProbeOverheadBytes = 200;
/// Probes that this proxy passes on for others at once.
static constexpr std::size_t MaximumRelays = 1024;
/// Peers that learn at once of a leaving or draining member or of a crash suspect, before the next round of gossip.
static constexpr std::size_t UrgentGossipFanOut = 8;
/// Members that probe a member which another one accuses; more would make each failure cost a probe from everybody.
static constexpr double ExpectedConfirmers = 6;

FailureDetector::FailureDetector(FailureDetectorSettings settings, MembershipTable &table, const Clock &clock, Random &random)
    : m_settings(settings)
    , m_table(table)
    , m_clock(clock)
    , m_random(random)
    , m_schedule(table, random)
    , m_isolation(m_settings)
    , m_crashSuspects(clock)
    // Members that start together would otherwise probe in step.
    , m_nextProbe(clock.now() + random.jitter(settings.probePeriod))
    , m_nextGossip(clock.now())
    , m_nextFailedProbe(clock.now() + random.jitter(settings.failedProbePeriod))
    , m_firstIncarnation(table.self().incarnation)
{
    m_gossip.push(MemberUpdate {m_table.self(), {}}, transmissions());
}

std::vector<FailureDetectorOutput> FailureDetector::handle(const FailureDetectorInput &input)
{
    noticeFreeze();
    std::visit([this](const auto &message) { accept(message); }, input);
    return takeOutputs();
}

std::vector<FailureDetectorOutput> FailureDetector::advance()
{
    noticeFreeze();
    expireTombstones();
    runProbes();
    runIsolation();
    runSuspicions();
    runDepartureHandover();
    if (m_clock.now() >= m_nextProbe) {
        m_nextProbe = m_clock.now() + m_settings.probePeriod;
        probeNext();
    }
    if (m_clock.now() >= m_nextGossip) {
        gossip();
    }
    if (m_clock.now() >= m_nextFailedProbe) {
        probeFailedPeer();
    }
    return takeOutputs();
}

std::optional<TimePoint> FailureDetector::nextDeadline() const
{
    TimePoint next = std::min(m_nextProbe, m_nextFailedProbe);
    if (!m_gossip.isEmpty()) {
        next = std::min(next, m_nextGossip);
    }
    for (const auto &[sequence, pending] : m_pending) {
        next = std::min(next, pending.sentAt + (pending.isIndirectSent ? m_settings.probePeriod : m_settings.directTimeout));
    }
    for (const auto &[id, suspicion] : m_suspicions) {
        next = std::min(next, suspicion.deadline());
    }
    if (m_departureHandover) {
        next = std::min(next, m_departureHandover->nextPing);
    }
    return std::min(next, m_isolation.nextDeadline().value_or(next));
}

void FailureDetector::accept(const ReceivedProbe &probe)
{
    std::visit([this](const auto &datagram) { learn(datagram.cargo); }, probe.datagram);
    std::visit(Overloaded {
                   [&](const Ping &ping) { acceptPing(probe.sender, ping); },
                   [&](const PingRequest &request) { acceptPingRequest(probe.sender, request); },
                   [&](const Ack &ack) { acceptAck(ack); },
               },
        probe.datagram);
}

void FailureDetector::accept(const MergeRecords &merge)
{
    for (const MemberRecord &record : merge.records) {
        applyUpdate(MemberUpdate {record, {}});
    }
}

void FailureDetector::accept(const HeldVersionChanged &change)
{
    m_held = change.held;
}

/// Puts \a departure into \a record as the latest one, also where the clock of this instance went back since the one before.
static void setDeparture(MemberRecord &record, const UpstreamDeparted &departure)
{
    const std::optional<DepartedUpstream> earlier = record.departed;
    record.departed =
        DepartedUpstream {departure.upstreamId, departure.startedUnixMs, record.incarnation, record.sequence, departure.latestStartUnixMs};
    if (!isLaterDeparture(record.departed, earlier)) {
        record.departed->incarnation = earlier->incarnation + 1;
    }
}

void FailureDetector::accept(const OwnRecordChanged &change)
{
    MemberRecord record = m_table.self();
    record.state = change.state;
    record.endpoint = change.endpoint;
    completeEndpoint(record);
    ++record.sequence;
    if (record.departed && encodeMemberRecord(record).size() > MaximumRecordBytes) {
        // The upstream that serves matters more than the one that has left.
        setDeparture(record, {});
    }
    if (fitsProbe(record)) {
        changeOwnRecord(std::move(record));
    }
}

void FailureDetector::accept(const UpstreamDeparted &departure)
{
    MemberRecord record = m_table.self();
    ++record.sequence;
    setDeparture(record, departure);
    if (!fitsProbe(record)) {
        return;
    }
    m_isDepartureOwn = true;
    mergeAndGossip(MemberUpdate {std::move(record), {}});
    const TimePoint now = m_clock.now();
    m_departureHandover = DepartureHandover {now + m_settings.departureLimit, now, {}, {}};
    runDepartureHandover();
}

void FailureDetector::accept(const StoredDeparture &stored)
{
    learnOwnDeparture(stored.departed);
}

void FailureDetector::accept(const LeaveRequested &)
{
    MemberRecord record = m_table.self();
    record.state = MemberState::Left;
    ++record.sequence;
    changeOwnRecord(std::move(record));
}

void FailureDetector::accept(const CrashSuspectRecorded &record)
{
    if (m_crashSuspects.merge(record.entry)) {
        m_gossip.push(*m_crashSuspects.find(record.entry.fingerprint), transmissions());
        spreadAtOnce();
    }
}

void FailureDetector::accept(const MergeCrashSuspects &merge)
{
    bool isNews = false;
    for (const CrashSuspectEntry &entry : merge.entries) {
        isNews = learnCrashSuspect(entry) || isNews;
    }
    if (isNews && merge.mustSpread) {
        spreadAtOnce();
    }
}

void FailureDetector::accept(const OutsideReached &)
{
    m_outsideReachedAt = m_clock.now();
}

void FailureDetector::accept(const VersionUnacknowledged &unacknowledged)
{
    for (const std::string &id : unacknowledged.members) {
        const MemberRecord *member = m_table.find(id);
        if (member != nullptr && memberStateInfo(member->state).isLive) {
            sendPing(*member);
        }
    }
}

void FailureDetector::acceptPing(const SocketAddress &sender, const Ping &ping)
{
    const MemberRecord &self = m_table.self();
    // A process that left or that replaced the target at its address must not keep the target alive.
    if (ping.targetId != self.proxyId || !memberStateInfo(self.state).isLive) {
        return;
    }
    send(sender, ping.cargo.senderId, Ack {{}, ping.sequence, self.proxyId});
}

void FailureDetector::acceptPingRequest(const SocketAddress &sender, const PingRequest &request)
{
    if (m_relays.size() >= MaximumRelays) {
        return;
    }
    const std::uint64_t sequence = m_nextSequence++;
    m_relays.emplace(sequence, Relay {sender, request.sequence, request.targetId, m_clock.now() + m_settings.probePeriod});
    send(request.target, request.targetId, Ping {{}, sequence, request.targetId});
}

void FailureDetector::acceptAck(const Ack &ack)
{
    m_isolation.answered(ack.sequence);
    noteDepartureHolder(ack);
    const auto pending = m_pending.find(ack.sequence);
    if (pending != m_pending.end() && pending->second.targetId == ack.subjectId) {
        m_pending.erase(pending);
        return;
    }
    const auto relay = m_relays.find(ack.sequence);
    if (relay != m_relays.end() && relay->second.targetId == ack.subjectId) {
        send(relay->second.requester, {}, Ack {{}, relay->second.requesterSequence, ack.subjectId});
        m_relays.erase(relay);
    }
}

void FailureDetector::learn(const ProbeCargo &cargo)
{
    for (const MemberUpdate &update : cargo.updates) {
        applyUpdate(update);
    }
    for (const CrashSuspectEntry &entry : cargo.crashSuspects) {
        learnCrashSuspect(entry);
    }
    m_outputs.emplace_back(PeerVersion {cargo.senderId, cargo.held});
}

void FailureDetector::applyUpdate(const MemberUpdate &update)
{
    // A longer record would not fit the datagrams that have to pass it on.
    if (encodeMemberRecord(update.record).size() > MaximumRecordBytes) {
        return;
    }
    if (update.record.proxyId == m_table.self().proxyId) {
        refuteIfAccused(update.record);
        return;
    }
    if (update.record.state == MemberState::Suspect && update.record.dataCentre == m_table.self().dataCentre) {
        applyAccusation(update);
        return;
    }
    mergeAndGossip(update);
}

void FailureDetector::refuteIfAccused(const MemberRecord &record)
{
    learnOwnHistory(record);
    MemberRecord self = m_table.self();
    if (self.state == MemberState::Left || !supersedes(record, self)) {
        return;
    }
    self.incarnation = record.incarnation + 1;
    changeOwnRecord(std::move(self));
}

void FailureDetector::learnOwnHistory(const MemberRecord &record)
{
    learnOwnDeparture(record.departed);
    // The incarnation of an earlier process is higher where the clock of this instance went back.
    const bool isOfEarlierProcess = record.incarnation < m_firstIncarnation || record.incarnation > m_table.self().incarnation;
    if (isOfEarlierProcess && !m_isDepartureHistoryKnown) {
        m_isDepartureHistoryKnown = true;
        m_outputs.emplace_back(DepartureHistoryKnown {});
    }
}

void FailureDetector::learnOwnDeparture(const std::optional<DepartedUpstream> &departed)
{
    MemberRecord self = m_table.self();
    if (!isLaterDeparture(departed, self.departed)) {
        return;
    }
    if (m_isDepartureOwn) {
        // An earlier process acknowledged the other departure while the clock of this instance was ahead.
        self.departed->incarnation = departed->incarnation + 1;
    } else {
        self.departed = departed;
        m_outputs.emplace_back(DepartureLearned {*departed});
    }
    changeOwnRecord(std::move(self));
}

void FailureDetector::expireTombstones()
{
    for (const MemberRecord &record : m_table.expireTombstones()) {
        if (record.departed && record.dataCentre == m_table.self().dataCentre) {
            m_outputs.emplace_back(DepartureExpired {record.proxyId});
        }
    }
}

void FailureDetector::runDepartureHandover()
{
    if (!m_departureHandover || m_clock.now() < m_departureHandover->nextPing) {
        return;
    }
    if (m_table.livePeers().empty()) {
        m_departureHandover.reset();
        m_outputs.emplace_back(DepartureHeld {});
        return;
    }
    // Other members learn of it by gossip.
    if (m_clock.now() >= m_departureHandover->end) {
        m_departureHandover.reset();
        return;
    }
    m_departureHandover->nextPing = m_clock.now() + m_settings.departureRetry;
    for (const MemberRecord *peer : m_schedule.sample(UrgentGossipFanOut)) {
        m_departureHandover->pings.emplace(sendPing(*peer), peer->proxyId);
    }
}

void FailureDetector::noteDepartureHolder(const Ack &ack)
{
    if (!m_departureHandover) {
        return;
    }
    const auto ping = m_departureHandover->pings.find(ack.sequence);
    if (ping == m_departureHandover->pings.end() || ping->second != ack.subjectId) {
        return;
    }
    m_departureHandover->holders.insert(ack.subjectId);
    if (m_departureHandover->holders.size() >= std::min(m_settings.departureHolders, m_table.livePeers().size())) {
        m_departureHandover.reset();
        m_outputs.emplace_back(DepartureHeld {});
    }
}

bool FailureDetector::fitsProbe(const MemberRecord &record)
{
    const std::size_t bytes = encodeMemberRecord(record).size();
    if (bytes <= MaximumRecordBytes) {
        return true;
    }
    m_outputs.emplace_back(OwnRecordRejected {
        Error {ErrorCode::DatagramTooLong, "member record of " + record.proxyId + ": " + std::to_string(bytes) + " bytes"}});
    return false;
}

bool FailureDetector::mergeAndGossip(const MemberUpdate &update)
{
    std::optional<MemberChange> change = m_table.merge(update.record);
    if (!change) {
        return false;
    }
    if (change->after.state != MemberState::Suspect) {
        m_suspicions.erase(update.record.proxyId);
    }
    // The record held may have a later departure than the one received.
    m_gossip.push(MemberUpdate {change->after, update.accuser}, transmissions());
    m_outputs.emplace_back(std::move(*change));
    return true;
}

void FailureDetector::applyAccusation(const MemberUpdate &update)
{
    const std::string &id = update.record.proxyId;
    const bool isNews = mergeAndGossip(update);
    const MemberRecord *record = m_table.find(id);
    if (record->incarnation != update.record.incarnation || record->sequence != update.record.sequence
        || record->state != update.record.state) {
        return;
    }
    if (isNews) {
        m_suspicions.erase(id);
    }
    const std::size_t members = m_table.liveMembers(m_table.self().dataCentre).size();
    const auto suspicion = m_suspicions.try_emplace(id, m_settings, m_clock.now(), members).first;
    const bool isNewAccuser = !update.accuser.empty() && suspicion->second.addAccuser(update.accuser);
    if (isNewAccuser && !isNews) {
        m_gossip.push(update, transmissions());
    }
    // Independent confirmations need probes by others; the round-robin order alone would bring them too late.
    const bool isOwnAccusation = update.accuser == m_table.self().proxyId;
    if (isNews && !isOwnAccusation && m_random.chance(ExpectedConfirmers / static_cast<double>(members))) {
        probe(*record);
    }
}

bool FailureDetector::learnCrashSuspect(const CrashSuspectEntry &entry)
{
    if (!m_crashSuspects.merge(entry)) {
        return false;
    }
    const CrashSuspectEntry joined = *m_crashSuspects.find(entry.fingerprint);
    m_gossip.push(joined, transmissions());
    m_outputs.emplace_back(CrashSuspectLearned {joined});
    return true;
}

/// Sends queued gossip to the bridges, which forward crash suspects to other data centres, and to some other members.
void FailureDetector::spreadAtOnce()
{
    for (const MemberRecord *bridge : rendezvousMembers(m_table, m_table.self().dataCentre, BridgeRoleName, RoleHolders)) {
        if (bridge->proxyId != m_table.self().proxyId) {
            sendPing(*bridge);
        }
    }
    for (const MemberRecord *peer : m_schedule.sample(UrgentGossipFanOut)) {
        sendPing(*peer);
    }
}

void FailureDetector::changeOwnRecord(MemberRecord record)
{
    mergeAndGossip(MemberUpdate {std::move(record), {}});
    for (const MemberRecord *peer : m_schedule.sample(UrgentGossipFanOut)) {
        sendPing(*peer);
    }
}

void FailureDetector::probeNext()
{
    if (!memberStateInfo(m_table.self().state).isLive) {
        return;
    }
    if (const MemberRecord *target = m_schedule.next()) {
        probe(*target);
    }
}

void FailureDetector::probe(const MemberRecord &target)
{
    PendingProbe pending {target.proxyId, m_clock.now()};
    m_pending.emplace(sendPing(target), std::move(pending));
}

void FailureDetector::runProbes()
{
    std::vector<PendingProbe> failed;
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        PendingProbe &pending = entry->second;
        const Duration age = m_clock.now() - pending.sentAt;
        if (age >= m_settings.probePeriod) {
            failed.push_back(std::move(pending));
            entry = m_pending.erase(entry);
            continue;
        }
        if (age >= m_settings.directTimeout && !pending.isIndirectSent) {
            sendIndirectProbes(entry->first, pending);
        }
        ++entry;
    }
    for (const PendingProbe &pending : failed) {
        probeFailed(pending);
    }
    std::erase_if(m_relays, [this](const auto &relay) { return relay.second.expiry <= m_clock.now(); });
}

void FailureDetector::sendIndirectProbes(std::uint64_t sequence, PendingProbe &pending)
{
    pending.isIndirectSent = true;
    const MemberRecord *target = m_table.find(pending.targetId);
    if (target == nullptr) {
        return;
    }
    const auto helpers = m_schedule.sample(m_settings.indirectProbes, pending.targetId);
    for (const MemberRecord *helper : helpers) {
        send(helper->address, helper->proxyId, PingRequest {{}, sequence, pending.targetId, target->address});
    }
    // With fewer helpers than wanted, a second direct ping makes up for lost datagrams.
    if (helpers.size() < m_settings.indirectProbes) {
        send(target->address, pending.targetId, Ping {{}, sequence, pending.targetId});
    }
}

void FailureDetector::probeFailed(const PendingProbe &pending)
{
    const MemberRecord *target = m_table.find(pending.targetId);
    if (target == nullptr || !memberStateInfo(target->state).isLive) {
        return;
    }
    if (!m_isolation.isRoundRunning()) {
        beginIsolationRound(pending.targetId);
    }
    // The accusations of a proxy that is cut off would only make everybody refute.
    if (m_isolation.isIsolated()) {
        return;
    }
    MemberUpdate accusation {*target, m_table.self().proxyId};
    accusation.record.state = MemberState::Suspect;
    applyAccusation(accusation);
}

void FailureDetector::runSuspicions()
{
    std::vector<std::string> due;
    for (const auto &[id, suspicion] : m_suspicions) {
        if (suspicion.deadline() <= m_clock.now()) {
            due.push_back(id);
        }
    }
    for (const std::string &id : due) {
        settleSuspicion(id);
    }
}

void FailureDetector::settleSuspicion(const std::string &id)
{
    const auto suspicion = m_suspicions.find(id);
    const MemberRecord *record = m_table.find(id);
    if (record == nullptr) {
        m_suspicions.erase(suspicion);
        return;
    }
    if (!m_isolation.isIsolated() && hasEvidence(suspicion->second)) {
        MemberUpdate removal {*record, {}};
        removal.record.state = MemberState::Failed;
        mergeAndGossip(removal);
        return;
    }
    suspicion->second.postpone(m_clock.now() + m_settings.probePeriod);
    // Where the failure is real, this probe makes this proxy the second accuser.
    probe(*record);
}

bool FailureDetector::hasEvidence(const Suspicion &suspicion) const
{
    if (suspicion.accuserCount() > 1) {
        return true;
    }
    const auto peers = m_table.livePeers();
    const bool canBeConfirmed =
        std::any_of(peers.begin(), peers.end(), [](const MemberRecord *peer) { return peer->state != MemberState::Suspect; });
    return !canBeConfirmed && suspicion.accuserCount() == 1 && m_outsideReachedAt && *m_outsideReachedAt >= suspicion.startedAt();
}

void FailureDetector::runIsolation()
{
    const bool isOutsideReached = m_outsideReachedAt && m_clock.now() - *m_outsideReachedAt <= m_settings.outsideFreshness;
    switch (m_isolation.finishRound(m_clock.now(), isOutsideReached)) {
    case IsolationWatch::Verdict::Suspected:
        m_outputs.emplace_back(IsolationSuspected {m_isolation.missed(), m_isolation.probed()});
        break;
    case IsolationWatch::Verdict::Ended:
        restartSuspicions();
        m_outputs.emplace_back(IsolationEnded {});
        break;
    case IsolationWatch::Verdict::Unchanged:
        break;
    }
    if (m_isolation.isIsolated() && !m_isolation.isRoundRunning()) {
        beginIsolationRound({});
    }
}

void FailureDetector::beginIsolationRound(const std::string &missedId)
{
    std::set<std::uint64_t> sequences;
    for (const MemberRecord *peer : m_schedule.sample(m_settings.isolationSample, missedId)) {
        sequences.insert(sendPing(*peer));
    }
    m_isolation.beginRound(std::move(sequences), missedId.empty() ? 0 : 1, m_clock.now());
}

void FailureDetector::restartSuspicions()
{
    for (auto &[id, suspicion] : m_suspicions) {
        suspicion.restart(m_clock.now());
    }
}

void FailureDetector::gossip()
{
    m_nextGossip = m_clock.now() + m_settings.gossipPeriod;
    if (m_gossip.isEmpty()) {
        return;
    }
    for (const MemberRecord *peer : m_schedule.sample(m_settings.gossipFanOut)) {
        sendPing(*peer);
    }
}

void FailureDetector::probeFailedPeer()
{
    m_nextFailedProbe = m_clock.now() + m_settings.failedProbePeriod;
    const auto failed = m_table.failedPeers();
    if (!failed.empty()) {
        sendPing(*failed[m_random.below(failed.size())]);
    }
}

void FailureDetector::noticeFreeze()
{
    // The probe timer is always running. Other deadlines may move into the past without a pause.
    const Duration lateness = m_clock.now() - m_nextProbe;
    if (lateness <= m_settings.freezeThreshold) {
        return;
    }
    // Acks that arrived during the pause may be lost, so what is pending is no evidence against anybody.
    m_pending.clear();
    m_relays.clear();
    m_isolation.cancelRound();
    restartSuspicions();
    m_nextProbe = m_clock.now();
    m_nextGossip = m_clock.now();
    m_nextFailedProbe = m_clock.now() + m_settings.failedProbePeriod;
    m_outputs.emplace_back(FreezeDetected {lateness});
    MemberRecord self = m_table.self();
    if (self.state != MemberState::Left) {
        ++self.incarnation;
        changeOwnRecord(std::move(self));
    }
}

std::uint64_t FailureDetector::sendPing(const MemberRecord &target)
{
    const std::uint64_t sequence = m_nextSequence++;
    Ping ping {{}, sequence, target.proxyId};
    // The receiver may have missed the gossip about this proxy.
    ping.cargo.updates.push_back({m_table.self(), {}});
    send(target.address, target.proxyId, std::move(ping));
    return sequence;
}

template<typename Datagram>
void FailureDetector::send(const SocketAddress &receiver, const std::string &receiverId, Datagram datagram)
{
    datagram.cargo.senderId = m_table.self().proxyId;
    datagram.cargo.held = m_held;
    const MemberRecord *record = m_table.find(receiverId);
    // An accused member is told first of all, so that it can refute.
    if (record != nullptr && (record->state == MemberState::Suspect || record->state == MemberState::Failed)) {
        datagram.cargo.updates.push_back({*record, {}});
    }
    static_assert(2 * MaximumRecordBytes + ProbeOverheadBytes <= MaximumDatagramBytes);
    const std::size_t bytes = encodeProbe(datagram).size() + ArrayGrowthBytes;
    if (bytes < MaximumDatagramBytes) {
        m_gossip.fill(datagram.cargo, MaximumDatagramBytes - bytes);
    }
    m_outputs.emplace_back(SendProbe {receiver, std::move(datagram)});
}

std::size_t FailureDetector::transmissions() const
{
    return gossipTransmissions(m_table.liveMembers(m_table.self().dataCentre).size(), m_settings.gossipFactor);
}

std::vector<FailureDetectorOutput> FailureDetector::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

} // namespace Fuchsiastep

#include <LibProxy/MembershipTask.h>

#include <LibProxy/EarliestDeadline.h>
#include <LibProxy/PlatformCalls.h>

namespace Fuchsiastep {

static FailureDetectorSettings detectorSettings(const MembershipSettings &settings)
{
    FailureDetectorSettings detector;
    detector.probePeriod = settings.probeInterval;
    detector.directTimeout = settings.probeTimeout;
    return detector;
}

static ContactKeeperSettings contactSettings(const ProxySettings &settings)
{
    ContactKeeperSettings contacts;
    contacts.seeds = settings.seeds;
    return contacts;
}

MembershipTask::MembershipTask(const ProxySettings &settings,
    const MemberRecord &self,
    const Clock &clock,
    Random &random,
    MetricsRegistry &metrics,
    PeerLinks &links,
    PlatformClient &platform,
    EventHandler onEvent)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_links(links)
    , m_platform(platform)
    , m_onEvent(std::move(onEvent))
    , m_table(self, clock)
    , m_detector(detectorSettings(settings.membership), m_table, clock, random)
    , m_contacts(contactSettings(settings), m_table, m_detector.crashSuspects(), clock, random)
    , m_remotes({}, m_table, clock, random)
    , m_suspectSync({}, m_table, m_detector.crashSuspects(), clock, random)
    , m_suspectStore({}, m_detector.crashSuspects(), clock, random)
    , m_departureStore({}, m_table, clock, random)
    , m_timer(clock, [this] { runDue(); })
    , m_mailbox([this](MembershipTaskMessage message) {
        std::visit([this](const auto &content) { handle(content); }, message);
        finishTurn();
    })
{ }

MembershipTask::~MembershipTask() = default;

Result<Done> MembershipTask::tryBind(const SocketAddress &address)
{
    Result<std::unique_ptr<DatagramSocket>> socket =
        DatagramSocket::tryBind(address, [this](const SocketAddress &sender, std::string_view content) { receive(sender, content); });
    if (isError(socket)) {
        return errorOf(socket);
    }
    m_socket = valueOf(std::move(socket));
    return Done {};
}

void MembershipTask::start()
{
    runDue();
}

void MembershipTask::post(MembershipTaskMessage message)
{
    m_mailbox.post(std::move(message));
}

void MembershipTask::handle(const PeerFrame &frame)
{
    run(m_contacts.handle(frame));
    run(m_remotes.handle(frame));
    run(m_suspectSync.handle(frame));
    const MemberRecord *peer = m_table.find(frame.peer);
    if (peer != nullptr && peer->dataCentre != m_settings.dataCentre) {
        run(m_detector.handle(OutsideReached {}));
    }
}

void MembershipTask::handle(const PlatformReply &reply)
{
    if (!std::holds_alternative<PlatformFailure>(reply.response)) {
        run(m_detector.handle(OutsideReached {}));
    }
    run(m_contacts.handle(reply));
}

void MembershipTask::handle(const PlatformRestored &restored)
{
    run(m_contacts.handle(restored));
    run(m_suspectStore.handle(restored));
    run(m_departureStore.handle(restored));
}

void MembershipTask::handle(const HeldVersionChanged &change)
{
    m_peerVersions[m_settings.proxyId] = change.held.version;
    run(m_detector.handle(change));
}

void MembershipTask::handle(const OwnRecordChanged &change)
{
    run(m_detector.handle(change));
}

void MembershipTask::handle(const UpstreamDeparted &departure)
{
    run(m_detector.handle(departure));
}

void MembershipTask::handle(const DepartureHistoryWanted &wanted)
{
    run(m_departureStore.handle(wanted));
    run(m_departureStore.advance());
}

void MembershipTask::handle(const DepartureStoreReply &answer)
{
    run(m_departureStore.handle(answer.reply));
}

void MembershipTask::handle(const LeaveRequested &request)
{
    run(m_detector.handle(request));
}

void MembershipTask::handle(const CrashSuspectRecorded &record)
{
    run(m_detector.handle(record));
}

void MembershipTask::handle(const CrashObserved &observed)
{
    run(m_suspectStore.handle(observed));
}

void MembershipTask::handle(const CrashSuspectStoreReply &answer)
{
    run(m_suspectStore.handle(answer.reply));
}

void MembershipTask::handle(const VersionUnacknowledged &unacknowledged)
{
    run(m_detector.handle(unacknowledged));
}

void MembershipTask::handle(const StatusWanted &wanted)
{
    JsonValue::Array members;
    for (const MemberRecord &record : m_table.records()) {
        const auto version = m_peerVersions.find(record.proxyId);
        members.push_back(JsonValue::Object {
            {"proxy", record.proxyId},
            {"data_centre", record.dataCentre},
            {"region", record.region},
            {"state", memberStateInfo(record.state).name},
            {"control", record.controlAddress.toString()},
            {"peers", record.address.toString()},
            {"service", record.endpoint ? record.endpoint->service : std::string()},
            {"upstream", record.endpoint ? record.endpoint->upstreamId : std::string()},
            {"version", version == m_peerVersions.end() ? std::uint64_t(0) : version->second},
        });
    }
    wanted.reply({{"members", std::move(members)}, {"isolated", m_detector.isIsolated()}});
}

void MembershipTask::receive(const SocketAddress &sender, std::string_view content)
{
    Result<ProbeDatagram> datagram = tryDecodeProbe(content);
    if (isError(datagram)) {
        logEvent(LogEvent::DatagramRejected, {{"sender", sender.toString()}, {"error", describe(errorOf(datagram))}});
        return;
    }
    run(m_detector.handle(ReceivedProbe {sender, valueOf(std::move(datagram))}));
    finishTurn();
}

void MembershipTask::run(std::vector<FailureDetectorOutput> outputs)
{
    for (FailureDetectorOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](const SendProbe &probe) { sendProbe(probe); },
                       [this](const MemberChange &change) {
                           noteChange(change);
                           m_onEvent(change);
                       },
                       [this](const PeerVersion &version) {
                           m_peerVersions[version.peer] = version.held.version;
                           m_onEvent(version);
                       },
                       [this](const CrashSuspectLearned &learned) { m_onEvent(learned); },
                       [](const IsolationSuspected &isolation) {
                           logEvent(LogEvent::IsolationSuspected, {{"missed", isolation.missed}, {"probed", isolation.probed}});
                       },
                       [](const IsolationEnded &) {},
                       [this](const FreezeDetected &freeze) {
                           logEvent(LogEvent::FreezeDetected, {{"microseconds", freeze.length.count()}});
                           m_onEvent(freeze);
                       },
                       [this](const DepartureHeld &held) { m_onEvent(held); },
                       [this](const DepartureLearned &learned) { m_onEvent(learned); },
                       [this](const DepartureHistoryKnown &known) { m_onEvent(known); },
                       [this](const DepartureExpired &expired) { run(m_departureStore.handle(expired)); },
                       [](const OwnRecordRejected &rejected) {
                           logEvent(LogEvent::OperatorRequestRejected, {{"error", describe(rejected.error)}});
                       },
                   },
            output);
    }
}

void MembershipTask::run(std::vector<ContactKeeperOutput> outputs)
{
    for (ContactKeeperOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](PlatformCall &call) {
                           sendPlatformCall(m_platform, std::move(call), [this](PlatformReply reply) { post(std::move(reply)); });
                       },
                       [this](const SendFrame &send) { sendFrame(send); },
                       [this](const SendFrameToAddress &send) { m_links.sendToAddress(send.address, send.frame); },
                       [this](const MergeRecords &merge) { run(m_detector.handle(merge)); },
                       [this](const CrashSuspectRow &found) { run(m_suspectStore.handle(found)); },
                       [](const ContactRejected &rejected) {
                           logEvent(LogEvent::ContactRejected, {{"key", rejected.key}});
                       },
                       [this](const JoinCompleted &joined) { m_onEvent(joined); },
                   },
            output);
    }
}

void MembershipTask::run(std::vector<RemoteSyncOutput> outputs)
{
    for (RemoteSyncOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](const SendFrame &send) { sendFrame(send); },
                       [this](const MergeRecords &merge) { run(m_detector.handle(merge)); },
                       [this](const DataCentreReachability &reachability) {
                           m_metrics.setGauge("fuchsiastep_data_centre_reachable",
                               reachability.isReachable ? 1 : 0,
                               "data_centre=\"" + reachability.dataCentre + '"');
                       },
                   },
            output);
    }
}

void MembershipTask::run(std::vector<CrashSuspectSyncOutput> outputs)
{
    for (CrashSuspectSyncOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](const SendFrame &send) { sendFrame(send); },
                       [this](const MergeCrashSuspects &merge) { run(m_detector.handle(merge)); },
                       [](const CrashSuspectsRejected &rejected) {
                           logEvent(LogEvent::CrashSuspectsRejected, {{"peer", rejected.peer}, {"error", describe(rejected.error)}});
                       },
                   },
            output);
    }
}

void MembershipTask::run(std::vector<CrashSuspectStoreOutput> outputs)
{
    for (CrashSuspectStoreOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](PlatformCall &call) {
                           sendPlatformCall(m_platform, std::move(call), [this](PlatformReply reply) {
                               post(CrashSuspectStoreReply {std::move(reply)});
                           });
                       },
                       [this](const MergeCrashSuspects &merge) { run(m_detector.handle(merge)); },
                       [](const StoredCrashSuspectsRejected &rejected) {
                           logEvent(LogEvent::CrashSuspectsRejected, {{"peer", "platform"}, {"error", describe(rejected.error)}});
                       },
                   },
            output);
    }
}

void MembershipTask::run(std::vector<DepartureStoreOutput> outputs)
{
    for (DepartureStoreOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](PlatformCall &call) {
                           sendPlatformCall(
                               m_platform, std::move(call), [this](PlatformReply reply) { post(DepartureStoreReply {std::move(reply)}); });
                       },
                       [this](const StoredDeparture &stored) { run(m_detector.handle(stored)); },
                       [this](const DepartureHistoryKnown &known) { m_onEvent(known); },
                       [](const StoredDepartureRejected &rejected) {
                           logEvent(LogEvent::StoredDepartureRejected, {{"error", describe(rejected.error)}});
                       },
                   },
            output);
    }
}

void MembershipTask::sendProbe(const SendProbe &probe)
{
    const std::string content = encodeProbe(probe.datagram);
    m_metrics.count("fuchsiastep_control_bytes_total", "path=\"udp\"", content.size());
    m_metrics.count("fuchsiastep_control_messages_total", "path=\"udp\"");
    if (m_socket) {
        m_socket->trySend(probe.receiver, content);
    }
}

void MembershipTask::sendFrame(const SendFrame &send)
{
    const MemberRecord *peer = m_table.find(send.peer);
    m_links.sendAnyWay(send.peer, peer != nullptr ? std::optional(peer->address) : std::nullopt, send.frame);
}

static bool hasLiveEndpoint(const MemberRecord &record)
{
    return record.endpoint && record.state != MemberState::Joining && memberStateInfo(record.state).isLive;
}

void MembershipTask::noteChange(const MemberChange &change)
{
    logChange(change);
    if (change.before && hasLiveEndpoint(*change.before)) {
        const std::string &oldId = change.before->endpoint->upstreamId;
        // An upstream may have moved to another proxy, which is then the one that has it.
        if (m_table.findUpstream(oldId) == nullptr) {
            m_changes[oldId] = std::nullopt;
        }
    }
    if (hasLiveEndpoint(change.after)) {
        Endpoint endpoint = *change.after.endpoint;
        endpoint.isDraining = endpoint.isDraining || change.after.state == MemberState::Draining;
        const std::string id = endpoint.upstreamId;
        m_changes[id] = std::move(endpoint);
    }
}

void MembershipTask::logChange(const MemberChange &change) const
{
    if (change.before && change.before->state == change.after.state) {
        return;
    }
    const auto write = [&](LogEvent event) {
        logEvent(event, {{"member", change.after.proxyId}, {"state", memberStateInfo(change.after.state).name}});
    };
    switch (change.after.state) {
    case MemberState::Suspect:
        write(LogEvent::MemberSuspected);
        return;
    case MemberState::Failed:
        write(LogEvent::MemberRemoved);
        return;
    case MemberState::Left:
        write(LogEvent::MemberLeft);
        return;
    case MemberState::Joining:
    case MemberState::Serving:
    case MemberState::Draining:
        if (!change.before) {
            write(LogEvent::MemberJoined);
        }
        return;
    }
}

void MembershipTask::runDue()
{
    run(m_detector.advance());
    run(m_contacts.advance());
    run(m_remotes.advance());
    run(m_suspectSync.advance());
    run(m_suspectStore.advance());
    run(m_departureStore.advance());
    finishTurn();
}

void MembershipTask::finishTurn()
{
    if (!m_changes.empty()) {
        EndpointsChanged changed;
        for (auto &[upstreamId, endpoint] : m_changes) {
            if (endpoint) {
                changed.stored.push_back(std::move(*endpoint));
            } else {
                changed.removedUpstreamIds.push_back(upstreamId);
            }
        }
        m_changes.clear();
        m_metrics.setGauge("fuchsiastep_members", static_cast<double>(m_table.livePeers().size() + 1));
        m_onEvent(std::move(changed));
    }
    m_timer.setDeadline(earliestDeadline({m_detector.nextDeadline(),
        m_contacts.nextDeadline(),
        m_remotes.nextDeadline(),
        m_suspectSync.nextDeadline(),
        m_suspectStore.nextDeadline(),
        m_departureStore.nextDeadline()}));
}

} // namespace Fuchsiastep

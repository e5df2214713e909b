#include <LibProxy/ProxyRuntime.h>

#include <algorithm>

namespace Fuchsiastep {

/// Time for the leave message to spread before the sockets close.
static constexpr Duration LeaveTime = std::chrono::milliseconds(300);
/// A proxy that finds no member of its data centre within this time is the first one there, and says that it is ready.
static constexpr Duration JoinTime = std::chrono::milliseconds(1500);
static constexpr Duration IdleCheckInterval = std::chrono::seconds(30);

static FleetExchangeSettings fleetSettings(const ProxySettings &settings)
{
    FleetExchangeSettings fleet;
    if (settings.workspaces) {
        fleet.reportPeriod = std::min(fleet.reportPeriod, settings.workspaces->quota.reportPeriod());
        // A request may wait for the report.
        fleet.shortestPeriod = std::chrono::milliseconds(10);
    }
    return fleet;
}

ProxyRuntime::ProxyRuntime(ProxySettings settings, EdgeProtocol protocol, std::function<void()> onStopped)
    : m_settings(std::move(settings))
    , m_protocol(std::move(protocol))
    , m_onStopped(std::move(onStopped))
    , m_startedAt(m_clock.now())
    , m_incarnation(static_cast<std::uint64_t>(m_clock.unixMilliseconds()))
    , m_ingress(m_settings.limits.unfinishedRequestBytes)
    , m_drainTimer(m_clock,
          [this] {
              if (m_hasLeft) {
                  m_onStopped();
              } else {
                  leave();
              }
          })
    , m_joinTimer(m_clock, [this] { endJoining(); })
    , m_freshnessTimer(m_clock, [this] { checkFreshness(); })
    , m_idleTimer(m_clock, [this] {
        m_links->closeIdle();
        m_idleTimer.setDeadline(m_clock.now() + IdleCheckInterval);
    })
{ }

ProxyRuntime::~ProxyRuntime()
{
    // The platform client goes first, so that no answer arrives at a task that is gone.
    m_platform.reset();
}

Result<SocketAddress> ProxyRuntime::tryListenPeers()
{
    // TCP and UDP share a number. Where the kernel chooses the TCP port, its UDP twin may be taken.
    constexpr int Attempts = 20;
    Error lastError;
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        m_links =
            std::make_unique<PeerLinks>(HelloFrame {HelloFrame::CurrentProtocol, m_settings.proxyId, m_incarnation, m_settings.dataCentre},
                m_settings.limits.bufferBytes,
                m_clock,
                m_metrics,
                [this](PeerLinksEvent event) { handlePeers(std::move(event)); });
        const Result<Done> listening = m_links->tryListen(m_settings.listen.peers);
        if (isError(listening)) {
            return errorOf(listening);
        }
        MemberRecord self;
        self.proxyId = m_settings.proxyId;
        self.incarnation = m_incarnation;
        self.sequence = 1;
        self.address = m_links->address();
        self.controlAddress = m_operators->address();
        self.dataCentre = m_settings.dataCentre;
        self.region = m_settings.region;
        self.linkMbps = m_settings.linkMbps;
        m_membership = std::make_unique<MembershipTask>(
            m_settings, self, m_clock, m_random, m_metrics, *m_links, *m_platform, [this](MembershipTaskEvent event) {
                handleMembership(std::move(event));
            });
        const Result<Done> bound = m_membership->tryBind(m_links->address());
        if (!isError(bound)) {
            return m_links->address();
        }
        lastError = errorOf(bound);
    }
    return lastError;
}

Result<ProxyAddresses> ProxyRuntime::tryStart()
{
    PlatformClientSettings platform;
    platform.baseUrl = m_settings.platform.url;
    platform.timeout = m_settings.platform.timeout;
    platform.protocol = m_protocol.platform;
    platform.maximumAnswerBytes = std::min<std::uint64_t>(platform.maximumAnswerBytes, m_settings.limits.bufferBytes);
    m_platform = std::make_unique<PlatformClient>(platform);
    m_platform->setRestoredHandler([this](const PlatformRestored &restored) { handlePlatform(restored); });
    m_operators = std::make_unique<OperatorTask>(
        m_protocol, m_settings.upstream, m_clock, m_metrics, [this](OperatorTaskEvent event) { handleOperators(std::move(event)); });
    m_operators->limitClients(m_ingress, m_settings.limits.clientConnections);
    const Result<Done> control = m_operators->tryListen(m_settings.listen.control);
    if (isError(control)) {
        return errorOf(control);
    }
    if (m_settings.listen.readiness) {
        const Result<Done> readiness = m_operators->tryListen(*m_settings.listen.readiness);
        if (isError(readiness)) {
            return errorOf(readiness);
        }
    }
    if (m_settings.listen.metrics) {
        const Result<Done> metrics = m_operators->tryListen(*m_settings.listen.metrics);
        if (isError(metrics)) {
            // Requests can be served without it.
            logEvent(LogEvent::MetricsUnavailable, {{"error", describe(errorOf(metrics))}});
        }
    }
    const Result<SocketAddress> peers = tryListenPeers();
    if (isError(peers)) {
        return errorOf(peers);
    }
    if (m_settings.workspaces) {
        m_quotas = std::make_unique<WorkspaceQuotas>(
            m_settings.workspaces->quota,
            [this] { return m_membership->table().liveMembers(m_settings.dataCentre).size(); },
            m_clock,
            m_random);
    }
    if (m_settings.workspaces && m_settings.workspaces->isRevocationStrict) {
        m_freshness = std::make_unique<FreshnessLease>(FreshnessSettings {m_settings.workspaces->revocationTime}, m_clock);
    }
    if (m_settings.rollouts && !m_protocol.rollouts.orderPrefix.empty()) {
        m_rollouts = std::make_unique<RolloutTask>(
            *m_settings.rollouts, m_protocol.rollouts, m_membership->table(), m_clock, m_metrics, *m_platform);
    }
    m_requests = std::make_unique<RequestTask>(m_settings,
        m_protocol,
        m_incarnation,
        m_clock,
        m_random,
        m_metrics,
        *m_links,
        *m_platform,
        m_quotas.get(),
        m_freshness.get(),
        m_rollouts.get(),
        [this](const RequestTaskEvent &event) { handleRequests(event); });
    m_requests->shareIngress(m_ingress);
    const Result<Done> callers = m_requests->tryListen(m_settings.listen.callers);
    if (isError(callers)) {
        return errorOf(callers);
    }
    m_configuration = std::make_unique<ConfigurationTask>(m_settings,
        m_protocol,
        m_membership->table(),
        m_clock,
        m_random,
        m_metrics,
        *m_links,
        *m_platform,
        [this](const ConfigurationTaskEvent &event) { handleConfiguration(event); });
    m_fleet = std::make_unique<FleetTask>(fleetSettings(m_settings), m_membership->table(), m_clock, *m_links);
    if (m_rollouts) {
        m_rollouts->setCoordinator([this] { return m_fleet->isCoordinator(); });
        m_fleet->addTopic(m_rollouts->topic());
    }
    if (m_freshness) {
        m_fleet->addTopic(m_freshness->topic());
    }
    if (m_quotas) {
        m_fleet->addTopic(m_quotas->topic([this](std::vector<AllowanceDecision> decisions) {
            if (!decisions.empty()) {
                m_requests->post(QuotaDecided {std::move(decisions)});
            }
        }));
    }
    m_membership->start();
    m_configuration->start();
    m_fleet->start();
    if (m_rollouts) {
        m_rollouts->start();
    }
    checkFreshness();
    m_joinTimer.setDeadline(m_clock.now() + JoinTime);
    m_idleTimer.setDeadline(m_clock.now() + IdleCheckInterval);
    return ProxyAddresses {m_requests->address(), m_operators->address(), valueOf(peers)};
}

void ProxyRuntime::checkFreshness()
{
    if (!m_freshness) {
        return;
    }
    // Readers ask first, and others only where neither readers nor coordinators tell them anything.
    constexpr Duration LeastLeftOfReader = std::chrono::milliseconds(1500);
    constexpr Duration LeastLeft = std::chrono::milliseconds(700);
    constexpr Duration CheckPeriod = std::chrono::milliseconds(500);
    constexpr int AskPeriods = 2;
    const bool isReader = holdsRole(m_membership->table(), ReaderRoleName, m_settings.distribution.readersPerDataCentre);
    if (m_freshness->left() < (isReader ? LeastLeftOfReader : LeastLeft) && ++m_freshnessChecks % AskPeriods == 0) {
        m_configuration->post(ConfirmationWanted {});
    }
    m_metrics.setGauge("fuchsiastep_freshness_lease_seconds", std::chrono::duration<double>(m_freshness->left()).count());
    m_freshnessTimer.setDeadline(m_clock.now() + CheckPeriod);
}

void ProxyRuntime::handlePlatform(const PlatformRestored &restored)
{
    m_configuration->post(restored);
    m_membership->post(restored);
    m_requests->post(restored);
}

void ProxyRuntime::handlePeers(PeerLinksEvent event)
{
    auto *received = std::get_if<PeerFrameReceived>(&event);
    if (received == nullptr) {
        if (const auto *closed = std::get_if<PeerConnectionClosed>(&event)) {
            m_configuration->post(PeerLost {closed->proxyId});
        }
        std::visit([this](const auto &content) { m_requests->post(content); }, event);
        return;
    }
    std::visit(Overloaded {
                   [&](MembershipSyncFrame &) {
                       m_membership->post(PeerFrame {received->proxyId, std::move(received->frame)});
                   },
                   [&](CrashSuspectsFrame &) {
                       m_membership->post(PeerFrame {received->proxyId, std::move(received->frame)});
                   },
                   [&](CrashSuspectsAckFrame &) {
                       m_membership->post(PeerFrame {received->proxyId, std::move(received->frame)});
                   },
                   [&](CrashSuspectsQueryFrame &) {
                       m_membership->post(PeerFrame {received->proxyId, std::move(received->frame)});
                   },
                   [&](RequestFrame &) { m_requests->post(std::move(*received)); },
                   [&](AnswerFrame &) { m_requests->post(std::move(*received)); },
                   [&](AnswerPartFrame &) { m_requests->post(std::move(*received)); },
                   [&](CancelFrame &) { m_requests->post(std::move(*received)); },
                   [&](AnswerPartAckFrame &) { m_requests->post(std::move(*received)); },
                   [&](FleetReportFrame &) {
                       m_fleet->post(PeerFrame {received->proxyId, std::move(received->frame)});
                   },
                   [&](FleetReplyFrame &) {
                       m_fleet->post(PeerFrame {received->proxyId, std::move(received->frame)});
                   },
                   [&](auto &) {
                       m_configuration->post(PeerFrame {received->proxyId, std::move(received->frame)});
                   },
               },
        received->frame);
}

void ProxyRuntime::handleRequests(const RequestTaskEvent &event)
{
    std::visit(Overloaded {
                   [this](const RequestsDrained &) { leave(); },
                   [this](const CrashObserved &observed) { m_membership->post(observed); },
                   [this](const QuotaTokensWanted &) { m_fleet->post(FleetReportWanted {}); },
                   [this](const SuspectsChanged &changed) {
                       for (const CrashSuspectEntry &entry : changed.entries) {
                           m_membership->post(CrashSuspectRecorded {entry});
                       }
                   },
               },
        event);
}

void ProxyRuntime::handleMembership(MembershipTaskEvent event)
{
    std::visit(Overloaded {
                   [this](EndpointsChanged &change) { m_configuration->post(std::move(change)); },
                   [this](const MemberChange &change) {
                       m_requests->post(ProxyCountChanged {m_membership->table().liveCount()});
                       m_configuration->post(change);
                   },
                   [this](const PeerVersion &version) { m_configuration->post(version); },
                   [this](const CrashSuspectLearned &learned) { m_requests->post(SuspectLearned {learned.entry}); },
                   [this](const FreezeDetected &freeze) { m_configuration->post(freeze); },
                   [this](const DepartureHeld &held) { m_operators->post(held); },
                   [this](const DepartureLearned &learned) { m_operators->post(learned); },
                   [this](const DepartureHistoryKnown &known) { m_operators->post(known); },
                   [this](const JoinCompleted &) { endJoining(); },
               },
        event);
}

void ProxyRuntime::handleConfiguration(const ConfigurationTaskEvent &event)
{
    std::visit(Overloaded {
                   [this](const NewestVersionConfirmed &confirmed) {
                       if (m_freshness) {
                           m_freshness->note(confirmed.version, confirmed.knownAtMs);
                       }
                   },
                   [this](const ViewChanged &change) { m_requests->post(change); },
                   [this](const UpstreamGone &gone) { m_requests->post(gone); },
                   [this](const CallerLimitsChanged &change) { m_requests->post(change); },
                   [this](const ReadinessChanged &change) {
                       m_isReady = change.isReady;
                       m_requests->post(change);
                       tellReadiness();
                       publishOwnRecord();
                   },
                   [this](const VersionHeld &held) { m_membership->post(HeldVersionChanged {held.held}); },
                   [this](const ConfigurationAdopted &adopted) { m_operators->post(adopted); },
                   [this](const VersionUnacknowledged &unacknowledged) { m_membership->post(unacknowledged); },
               },
        event);
}

void ProxyRuntime::endJoining()
{
    m_hasJoined = true;
    m_configuration->post(JoinEnded {});
    tellReadiness();
}

void ProxyRuntime::tellReadiness()
{
    // Without its members a proxy knows no upstreams and would refuse the calls that its readiness attracts. Peers send it
    // requests for its own upstream all the same.
    m_operators->post(ReadyChanged {m_isReady && m_hasJoined && !m_isDraining});
}

void ProxyRuntime::handleOperators(OperatorTaskEvent event)
{
    std::visit(Overloaded {
                   [this](UpstreamAnnouncement &announcement) { announce(announcement); },
                   [this](UpstreamDeparted &departed) { m_membership->post(std::move(departed)); },
                   [this](DepartureHistoryWanted &wanted) { m_membership->post(wanted); },
                   [this](AnnouncementsEnded &) {
                       logEvent(LogEvent::UpstreamLost, {{"upstream", m_endpoint ? m_endpoint->upstreamId : std::string()}});
                       m_endpoint.reset();
                       m_requests->post(UpstreamSilent {});
                       publishOwnRecord();
                   },
                   [this](DrainWanted &) { drain(); },
                   [this](WholeStatusWanted &wanted) { collectStatus(wanted.reply); },
                   [this](MembersWanted &wanted) {
                       m_membership->post(StatusWanted {[reply = wanted.reply](JsonValue::Object part) {
                           reply({200, JsonValue::Object {{"members", part["members"]}}});
                       }});
                   },
                   [this](auto &request) { m_configuration->post(std::move(request)); },
               },
        event);
}

void ProxyRuntime::announce(const UpstreamAnnouncement &announcement)
{
    m_requests->post(announcement);
    const bool isRestarted = m_lastAnnouncement && announcement.isRestartOf(*m_lastAnnouncement);
    m_lastAnnouncement = announcement;

    Endpoint endpoint;
    endpoint.upstreamId = announcement.upstreamId;
    endpoint.service = announcement.service;
    endpoint.proxyId = m_settings.proxyId;
    endpoint.incarnation = m_incarnation;
    endpoint.dataCentre = m_settings.dataCentre;
    endpoint.region = m_settings.region;
    endpoint.proxyAddress = m_links->address();
    endpoint.labels = announcement.labels;
    endpoint.slots = announcement.slots;
    endpoint.isDraining = announcement.isDraining;
    // The age is told once for each process of the upstream; told with each announcement it would be a change each time.
    endpoint.ageMsWhenSeen = m_endpoint && !isRestarted ? m_endpoint->ageMsWhenSeen : announcement.ageMs;
    if (m_endpoint == endpoint) {
        return;
    }
    if (!m_endpoint || isRestarted) {
        logEvent(LogEvent::UpstreamAnnounced,
            {{"upstream", endpoint.upstreamId},
                {"service", endpoint.service},
                {"address", announcement.address.toString()},
                {"started", announcement.lifetime ? announcement.lifetime->startedUnixMs : 0}});
    }
    m_endpoint = std::move(endpoint);
    publishOwnRecord();
}

void ProxyRuntime::publishOwnRecord()
{
    MemberState state = m_isReady ? MemberState::Serving : MemberState::Joining;
    if (m_isDraining) {
        state = MemberState::Draining;
    }
    if (!m_hasLeft) {
        m_membership->post(OwnRecordChanged {state, m_endpoint});
    }
}

void ProxyRuntime::collectStatus(const OperatorReplyHandler &reply)
{
    // Each task replies in its own turn; the last reply completes the status.
    struct Collection
    {
        JsonValue::Object status;
        int missing = 3;
    };
    auto collection = std::make_shared<Collection>();
    const ProcessUsage usage = ProcessUsage::current();
    const auto counter = [this](std::string_view name, std::string_view path) {
        return m_metrics.counter(name, path);
    };
    collection->status = {
        {"proxy", m_settings.proxyId},
        {"data_centre", m_settings.dataCentre},
        {"region", m_settings.region},
        {"incarnation", m_incarnation},
        {"control_bytes_sent",
            counter("fuchsiastep_control_bytes_total", "path=\"tcp\"") + counter("fuchsiastep_control_bytes_total", "path=\"udp\"")},
        {"control_messages_sent",
            counter("fuchsiastep_control_messages_total", "path=\"tcp\"") + counter("fuchsiastep_control_messages_total", "path=\"udp\"")},
        {"processor_ms", static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(usage.processorTime).count())},
        {"resident_bytes", usage.residentBytes},
        {"uptime_ms",
            static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_startedAt).count())},
    };
    const auto receive = [collection, reply](JsonValue::Object part) {
        const auto members = part.find("members");
        if (members != part.end()) {
            members->second = static_cast<std::uint64_t>(std::get<JsonValue::Array>(members->second.content).size());
        }
        collection->status.merge(part);
        if (--collection->missing == 0) {
            reply({200, collection->status});
        }
    };
    m_membership->post(StatusWanted {receive});
    m_configuration->post(StatusWanted {receive});
    m_requests->post(StatusWanted {receive});
}

void ProxyRuntime::reload(const ProxySettings &settings)
{
    startLogging(settings.logLevel, settings.logOutput);
    m_settings.logLevel = settings.logLevel;
    m_settings.retries = settings.retries;
    m_requests->post(RetriesChanged {settings.retries});
    logEvent(LogEvent::SettingsReloaded, {{"proxy", m_settings.proxyId}});
}

void ProxyRuntime::drain()
{
    if (m_isDraining) {
        return;
    }
    logEvent(LogEvent::DrainStarted);
    m_isDraining = true;
    tellReadiness();
    m_requests->post(DrainStarted {});
    publishOwnRecord();
    m_drainTimer.setDeadline(m_clock.now() + m_settings.limits.drainTime);
}

void ProxyRuntime::leave()
{
    if (m_hasLeft) {
        return;
    }
    logEvent(LogEvent::DrainFinished);
    m_hasLeft = true;
    m_membership->post(LeaveRequested {});
    m_drainTimer.setDeadline(m_clock.now() + LeaveTime);
}

} // namespace Fuchsiastep

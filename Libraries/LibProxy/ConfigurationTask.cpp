#include <LibProxy/ConfigurationTask.h>

#include <LibProxy/EarliestDeadline.h>
#include <LibProxy/OperatorChangeParser.h>
#include <LibProxy/OperatorJson.h>

#include <algorithm>

namespace Fuchsiastep {

struct ConfigurationTask::ChangeInProgress
{
    ChangeCommitter committer;
    std::string operationId;
    std::string operatorName;
    OperatorReplyHandler reply;
};

/// A starting proxy has this long to read the document before it asks a peer for what it holds: a document of 400 kB takes
/// 0.7 s over a link of 5 Mbit/s.
static constexpr Duration DocumentReadTime = std::chrono::milliseconds(1500);

/// Peers that hold another content of a version are met with each probe until they have read the platform as well.
static constexpr Duration DivergenceReadPeriod = std::chrono::seconds(1);

/// Names the platform where a log line names the source of a configuration; other sources are peers.
static constexpr const char *PlatformSource = "platform";

static DistributorSettings distributorSettings(const DistributionSettings &settings, bool hasDocument)
{
    DistributorSettings distributor;
    distributor.fanOut = settings.fanOut;
    distributor.batchDelay = settings.batchWindow;
    if (hasDocument) {
        // A document lies in the platform, where a successor of this proxy finds it; it needs no other holders first.
        distributor.holdersBeforeAdoption = 0;
        distributor.batchDelay = Duration(0);
        distributor.firstReadTime = DocumentReadTime;
    }
    return distributor;
}

static ConfigurationReaderSettings readerSettings(const DistributionSettings &settings)
{
    ConfigurationReaderSettings reader;
    reader.pollInterval = settings.readerPollInterval;
    // The distributor collects changes already; a second window would only add delay.
    reader.batchWindow = Duration(0);
    return reader;
}

ConfigurationTask::ConfigurationTask(const ProxySettings &settings,
    const EdgeProtocol &protocol,
    const MembershipTable &table,
    const Clock &clock,
    Random &random,
    MetricsRegistry &metrics,
    PeerLinks &links,
    PlatformClient &platform,
    EventHandler onEvent)
    : m_settings(settings)
    , m_protocol(protocol)
    , m_table(table)
    , m_clock(clock)
    , m_random(random)
    , m_metrics(metrics)
    , m_links(links)
    , m_platform(platform)
    , m_onEvent(std::move(onEvent))
    , m_distributor(distributorSettings(settings.distribution, !protocol.documentKey.empty()), table, m_holder, clock, random)
    , m_reader(readerSettings(settings.distribution), clock, random)
    , m_gate({}, table, clock, random)
    , m_timer(clock, [this] { runDue(); })
    , m_mailbox([this](ConfigurationTaskMessage message) {
        std::visit([this](const auto &content) { handle(content); }, message);
        finishTurn();
    })
{
    if (!protocol.documentKey.empty()) {
        DocumentReaderSettings documents;
        documents.key = protocol.documentKey;
        if (settings.workspaces && settings.workspaces->isRevocationStrict) {
            // A watch confirms the version when it is answered.
            constexpr int ConfirmationsPerRevocation = 10;
            documents.firstWatchTime = std::min(documents.firstWatchTime, settings.workspaces->revocationTime / ConfirmationsPerRevocation);
        }
        m_documents.emplace(std::move(documents), clock, random);
    }
}

ConfigurationTask::~ConfigurationTask() = default;

void ConfigurationTask::start()
{
    runDue();
}

void ConfigurationTask::post(ConfigurationTaskMessage message)
{
    m_mailbox.post(std::move(message));
}

void ConfigurationTask::handle(const PeerFrame &frame)
{
    if (const auto *nudge = std::get_if<VersionNudgeFrame>(&frame.frame)) {
        run(m_reader.handle(VersionNudge {nudge->version}));
        return;
    }
    m_configurationSource = frame.peer;
    m_sourceRevision = 0;
    run(m_distributor.handle(frame));
    run(m_gate.handle(frame));
}

void ConfigurationTask::handle(const PeerVersion &version)
{
    m_highestVersionSeen = std::max(m_highestVersionSeen, version.held.version);
    run(m_distributor.handle(version));
    const Configuration &own = *m_holder.current();
    const bool isDiverged = own.version() > 0 && version.held.version == own.version() && version.held.digest != own.digest();
    if (!isDiverged || m_clock.now() < m_nextDivergenceRead) {
        return;
    }
    m_nextDivergenceRead = m_clock.now() + DivergenceReadPeriod;
    reportDiverged(version.peer, version.held.digest);
    if (m_documents) {
        run(m_documents->handle(DocumentWanted {}));
    }
}

void ConfigurationTask::handle(const PeerLost &lost)
{
    if (!m_documents || m_role.isReader) {
        return;
    }
    // What the last reader had read and not passed on is found in the platform; membership notices its loss only later.
    // Where another one is connected, it passes the same version on: a document read by every proxy fills slow links.
    const std::vector<const MemberRecord *> readers =
        readersOf(m_table, m_settings.dataCentre, m_settings.distribution.readersPerDataCentre);
    const auto isLost = [&](const MemberRecord *reader) {
        return reader->proxyId == lost.proxyId;
    };
    const bool wasReader = std::any_of(readers.begin(), readers.end(), isLost);
    const bool isAnotherConnected = std::any_of(readers.begin(), readers.end(), [&](const MemberRecord *reader) {
        return !isLost(reader) && m_links.isConnected(reader->proxyId);
    });
    if (wasReader && !isAnotherConnected) {
        run(m_documents->handle(DocumentWanted {}));
    }
}

void ConfigurationTask::handle(const ConfirmationWanted &)
{
    if (m_documents) {
        run(m_documents->handle(DocumentConfirmationWanted {}));
    }
}

void ConfigurationTask::handle(const MemberChange &change)
{
    run(m_distributor.handle(change));
}

void ConfigurationTask::countServices(const EndpointsChanged &change)
{
    const auto leave = [this](const std::shared_ptr<const Endpoint> &endpoint) {
        const std::size_t remaining = --m_serviceSizes[endpoint->service];
        m_onEvent(UpstreamGone {endpoint->service, endpoint->upstreamId, remaining});
    };
    for (const std::string &upstreamId : change.removedUpstreamIds) {
        if (const auto known = m_view->endpoint(upstreamId)) {
            leave(known);
        }
    }
    for (const Endpoint &endpoint : change.stored) {
        const auto known = m_view->endpoint(endpoint.upstreamId);
        if (known && known->service == endpoint.service) {
            continue;
        }
        if (known) {
            leave(known);
        }
        ++m_serviceSizes[endpoint.service];
    }
}

void ConfigurationTask::handle(const EndpointsChanged &change)
{
    countServices(change);
    changeView(m_view->withEndpoints(change.stored, change.removedUpstreamIds));
}

void ConfigurationTask::handle(const FreezeDetected &)
{
    run(m_gate.handle(ProcessResumed {}));
}

void ConfigurationTask::handle(const PlatformRestored &restored)
{
    m_metrics.count("fuchsiastep_platform_restores_total");
    m_documentVersion = 0;
    if (m_documents) {
        run(m_documents->handle(restored));
    } else {
        run(m_reader.handle(restored));
    }
    run(m_gate.handle(restored));
}

void ConfigurationTask::handle(const JoinEnded &ended)
{
    run(m_gate.handle(ended));
    run(m_gate.advance());
}

void ConfigurationTask::handle(const PlatformAnswered &answered)
{
    answered.receive(answered.response);
}

void ConfigurationTask::handle(const ChangeSubmitted &submitted)
{
    if (m_documents) {
        submitted.reply(
            operatorFailure({ErrorCode::OperatorRequestMalformed, "the configuration is the document " + m_protocol.documentKey}));
        return;
    }
    Result<OperatorChange> change = tryParseOperatorChange(submitted.body);
    if (isError(change)) {
        submitted.reply(operatorFailure(errorOf(change)));
        return;
    }
    if (!m_gate.isOpen()) {
        submitted.reply(operatorFailure({ErrorCode::ConfigurationUnknown, m_settings.proxyId}));
        return;
    }
    std::get<OperatorChange>(change).isRepeated = submitted.isRepeated;
    const std::uint64_t id = m_nextChangeId++;
    auto inProgress = std::make_unique<ChangeInProgress>(ChangeInProgress {
        ChangeCommitter({}, m_clock, m_random), valueOf(change).operationId, valueOf(change).operatorName, submitted.reply});
    ChangeCommitter &committer = inProgress->committer;
    m_changes[id] = std::move(inProgress);
    run(id, committer.handle(SubmitChange {valueOf(std::move(change)), m_holder.current()}));
}

void ConfigurationTask::handle(const ObjectsWanted &wanted)
{
    wanted.reply({200, toJson(*m_holder.current())});
}

void ConfigurationTask::handle(const AuditWanted &wanted)
{
    callPlatform(AuditLog::request(wanted.afterVersion, wanted.limit), [reply = wanted.reply](const PlatformResponse &response) {
        const auto *rows = std::get_if<Rows>(&response);
        if (rows == nullptr) {
            reply(operatorFailure({ErrorCode::PlatformUnavailable, "the audit trail cannot be read"}));
            return;
        }
        reply({200, toJson(AuditLog::decode(rows->rows))});
    });
}

void ConfigurationTask::handle(const RoutesWanted &wanted)
{
    if (!m_holder.current()->service(wanted.service)) {
        wanted.reply(operatorFailure({ErrorCode::ServiceUnknown, wanted.service}));
        return;
    }
    wanted.reply({200, toJson(m_holder.current()->version(), m_view->routesOf(wanted.service))});
}

void ConfigurationTask::handle(const StatusWanted &wanted)
{
    const Configuration::Pointer &configuration = m_holder.current();
    wanted.reply({
        {"version", configuration->version()},
        {"digest", configuration->digest().toHex()},
        {"adopted_unix_ms", m_adoptedUnixMs},
        {"known_version", std::max(m_highestVersionSeen, configuration->version())},
        {"ready", m_gate.isOpen()},
        {"endpoints", static_cast<std::uint64_t>(m_view->endpointCount())},
        {"is_reader", m_role.isReader},
        {"platform_reachable", m_isPlatformReadable},
        {"platform_era", m_platform.era()},
        {"platform_reads", m_reader.counters().platformReads},
    });
}

void ConfigurationTask::run(std::vector<DistributorOutput> outputs)
{
    for (DistributorOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](const SendFrame &send) { sendFrame(send.peer, send.frame); },
                       [this](const ConfigurationAdopted &adopted) { adopt(adopted.configuration); },
                       [this](const ConfigurationRejected &rejected) {
                           m_metrics.count("fuchsiastep_configurations_rejected_total");
                           logEvent(LogEvent::ConfigurationRejected, {{"peer", rejected.peer}, {"error", describe(rejected.error)}});
                       },
                       [](const RangeReassigned &reassigned) {
                           logEvent(LogEvent::RangeReassigned, {{"from", reassigned.oldDelegate}, {"to", reassigned.newDelegate}});
                       },
                       [this](const RangeUnacknowledged &range) { m_onEvent(VersionUnacknowledged {range.members}); },
                       [this](const PullTimedOut &timedOut) {
                           m_metrics.count("fuchsiastep_pulls_timed_out_total");
                           logEvent(LogEvent::PullTimedOut, {{"peer", timedOut.peer}, {"held", m_holder.current()->version()}});
                           // The connections to the other peers may be silent as well; the one to the platform is independent of them.
                           if (m_documents && !m_role.isReader) {
                               run(m_documents->handle(DocumentWanted {}));
                           }
                       },
                   },
            output);
    }
}

void ConfigurationTask::run(std::vector<ConfigurationReaderOutput> outputs)
{
    for (ConfigurationReaderOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](PlatformCall &call) {
                           callPlatform(std::move(call.request), [this, id = call.id](const PlatformResponse &response) {
                               setPlatformReadable(!std::holds_alternative<PlatformFailure>(response));
                               run(m_reader.handle(PlatformReply {id, response}));
                           });
                       },
                       [this](const ConfigurationFound &found) {
                           m_highestVersionSeen = std::max(m_highestVersionSeen, found.configuration->version());
                           m_configurationSource = PlatformSource;
                           m_sourceRevision = 0;
                           run(m_distributor.handle(found));
                       },
                       [this](const ContentReplaced &replaced) {
                           m_configurationSource = PlatformSource;
                           m_sourceRevision = 0;
                           reportDiverged(PlatformSource, replaced.configuration->digest());
                           run(m_distributor.handle(replaced));
                       },
                       [this](const ReaderFailure &failure) {
                           m_metrics.count("fuchsiastep_reader_failures_total");
                           logEvent(LogEvent::PlatformCallFailed, {{"error", describe(failure.error)}});
                       },
                       [](const VersionReported &reported) {
                           logEvent(LogEvent::ConfigurationRejected, {{"version", reported.version}, {"error", describe(reported.error)}});
                       },
                       [this](const HeadBehind &behind) { reportBehind(behind.head, 0); },
                       [](const SnapshotStored &stored) {
                           logEvent(LogEvent::SnapshotWritten, {{"version", stored.version}});
                       },
                   },
            output);
    }
}

void ConfigurationTask::run(std::vector<StartupGateOutput> outputs)
{
    for (StartupGateOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](const ReadHead &) { readHead(); },
                       [this](const SendFrame &send) { sendFrame(send.peer, send.frame); },
                       [this](const GateOpened &opened) {
                           logEvent(LogEvent::ProxyReady,
                               {{"version", opened.version},
                                   {"head", opened.head ? std::to_string(*opened.head) : "unknown"},
                                   {"highest_of_peers", opened.highestOfPeers},
                                   {"peers_answered", opened.peersAnswered},
                                   {"era", m_platform.era()}});
                           m_onEvent(ReadinessChanged {true});
                       },
                       [this](const GateClosed &) { m_onEvent(ReadinessChanged {false}); },
                   },
            output);
    }
}

void ConfigurationTask::run(std::uint64_t changeId, std::vector<ChangeCommitterOutput> outputs)
{
    for (ChangeCommitterOutput &output : outputs) {
        std::visit(
            Overloaded {
                [this, changeId](PlatformCall &call) {
                    callPlatform(std::move(call.request), [this, changeId, id = call.id](const PlatformResponse &response) {
                        const auto change = m_changes.find(changeId);
                        if (change != m_changes.end()) {
                            run(changeId, change->second->committer.handle(PlatformReply {id, response}));
                        }
                    });
                },
                [this, changeId](const ChangeAccepted &accepted) {
                    const ChangeInProgress &change = *m_changes.at(changeId);
                    logEvent(LogEvent::ChangeAccepted,
                        {{"version", accepted.version}, {"operator", change.operatorName}, {"operation", change.operationId}});
                    nudgeReaders(accepted.version);
                    finishChange(changeId, {200, JsonValue::Object {{"version", accepted.version}, {"digest", accepted.digest.toHex()}}});
                },
                [this, changeId](const ChangeRefused &refused) {
                    const ChangeInProgress &change = *m_changes.at(changeId);
                    logEvent(LogEvent::ChangeRefused, {{"operator", change.operatorName}, {"error", describe(refused.error)}});
                    finishChange(changeId, operatorFailure(refused.error));
                },
            },
            output);
    }
}

void ConfigurationTask::finishChange(std::uint64_t changeId, const OperatorReply &reply)
{
    // The committer is still on the call stack, so it is destroyed in a later turn.
    m_changes.at(changeId)->reply(reply);
    post(PlatformAnswered {[this, changeId](const PlatformResponse &) { m_changes.erase(changeId); }, ObjectMissing {}});
}

void ConfigurationTask::adopt(const Configuration::Pointer &configuration)
{
    m_adoptedUnixMs = m_clock.unixMilliseconds();
    m_metrics.setGauge("fuchsiastep_configuration_version", static_cast<double>(configuration->version()));
    logEvent(LogEvent::ConfigurationAdopted,
        {{"version", configuration->version()},
            {"digest", configuration->digest().toHex()},
            {"unix_ms", m_adoptedUnixMs},
            {"source", m_configurationSource},
            {"revision", m_sourceRevision},
            {"era", m_platform.era()}});
    changeView(m_view->withConfiguration(configuration));
    m_onEvent(VersionHeld {{configuration->version(), configuration->digest()}});
    m_onEvent(ConfigurationAdopted {configuration});
    run(m_reader.handle(ConfigurationHeld {configuration}));
    run(m_gate.handle(HeldVersion {configuration->version()}));
}

void ConfigurationTask::changeView(View::Pointer view)
{
    m_view = std::move(view);
    m_metrics.setGauge("fuchsiastep_endpoints", static_cast<double>(m_view->endpointCount()));
    m_onEvent(ViewChanged {m_view});
}

void ConfigurationTask::run(std::vector<DocumentReaderOutput> outputs)
{
    for (DocumentReaderOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](PlatformCall &call) {
                           callPlatform(std::move(call.request), [this, id = call.id](const PlatformResponse &response) {
                               setPlatformReadable(!std::holds_alternative<PlatformFailure>(response));
                               run(m_documents->handle(PlatformReply {id, response}));
                           });
                       },
                       [this](const DocumentFound &found) { adoptDocument(found); },
                       [this](const DocumentConfirmed &confirmed) { confirmDocument(confirmed); },
                       [](const DocumentMissing &) { logEvent(LogEvent::DocumentMissing); },
                       [this](const DocumentFailure &failure) {
                           m_metrics.count("fuchsiastep_reader_failures_total");
                           logEvent(LogEvent::PlatformCallFailed, {{"error", describe(failure.error)}});
                       },
                   },
            output);
    }
}

void ConfigurationTask::adoptDocument(const DocumentFound &found)
{
    const Result<ConfigurationDocument> document = m_protocol.tryReadDocument(found.content);
    if (isError(document)) {
        // Refused whole; the next document replaces it.
        m_metrics.count("fuchsiastep_configurations_rejected_total");
        logEvent(LogEvent::ConfigurationRejected, {{"revision", found.revision}, {"error", describe(errorOf(document))}});
        return;
    }
    const ConfigurationVersion version = valueOf(document).version;
    m_documentVersion = version;
    m_sourceRevision = found.revision;
    // A version that came from a peer came without the limits of callers.
    if (version >= m_holder.current()->version() && m_callerLimits != valueOf(document).callerLimits) {
        m_callerLimits = valueOf(document).callerLimits;
        m_onEvent(CallerLimitsChanged {*m_callerLimits});
    }
    if (version > m_holder.current()->version()) {
        m_highestVersionSeen = std::max(m_highestVersionSeen, version);
        reportLimitedFields(valueOf(document));
        adoptObjects(valueOf(document).objects, version);
    } else if (version == m_holder.current()->version()) {
        compareContent(valueOf(document).objects);
    }
    if (version < m_holder.current()->version()) {
        reportBehind(version, found.revision);
    }
    run(m_gate.handle(HeadRead {version}));
}

void ConfigurationTask::confirmDocument(const DocumentConfirmed &confirmed)
{
    // A platform that came back from an older copy tells nothing about the versions that it has lost.
    if (m_documentVersion >= m_holder.current()->version()) {
        m_onEvent(NewestVersionConfirmed {m_documentVersion, confirmed.sentAtMs});
    }
}

void ConfigurationTask::compareContent(const std::vector<DeclaredObject> &objects)
{
    const ConfigurationVersion version = m_holder.current()->version();
    const Result<Configuration::Pointer> read =
        Configuration::empty()->tryApply(ConfigurationDelta::between(*Configuration::empty(), objects, version));
    if (isError(read) || valueOf(read)->digest() == m_holder.current()->digest()) {
        return;
    }
    // Every proxy takes the content of the platform, so that it does not matter which one a proxy has met first.
    reportDiverged(PlatformSource, valueOf(read)->digest());
    m_configurationSource = PlatformSource;
    run(m_distributor.handle(ContentReplaced {valueOf(read)}));
}

void ConfigurationTask::reportDiverged(const std::string &source, const Digest &digest)
{
    m_metrics.count("fuchsiastep_configurations_diverged_total");
    logEvent(LogEvent::ConfigurationDiverged,
        {{"version", m_holder.current()->version()},
            {"held", m_holder.current()->digest().toHex()},
            {"other", digest.toHex()},
            {"source", source},
            {"era", m_platform.era()}});
}

void ConfigurationTask::reportBehind(ConfigurationVersion found, std::uint64_t revision)
{
    const std::tuple behind {found, m_holder.current()->version(), m_platform.era()};
    if (std::exchange(m_reportedBehind, behind) == behind) {
        return;
    }
    m_metrics.count("fuchsiastep_configurations_behind_total");
    logEvent(LogEvent::ConfigurationBehind,
        {{"version", found}, {"held", m_holder.current()->version()}, {"revision", revision}, {"era", m_platform.era()}});
}

void ConfigurationTask::reportLimitedFields(const ConfigurationDocument &document)
{
    m_metrics.setGauge("fuchsiastep_configuration_fields_limited", static_cast<double>(document.limitedFields.size()));
    for (const LimitedField &field : document.limitedFields) {
        logEvent(LogEvent::ConfigurationFieldLimited,
            {{"version", document.version}, {"field", field.path}, {"given", field.given}, {"used", field.used}});
    }
}

void ConfigurationTask::adoptObjects(const std::vector<DeclaredObject> &objects, ConfigurationVersion version)
{
    const ConfigurationDelta delta = ConfigurationDelta::between(*m_holder.current(), objects, version);
    const Result<Configuration::Pointer> configuration = m_holder.current()->tryApply(delta);
    if (isError(configuration)) {
        m_metrics.count("fuchsiastep_configurations_rejected_total");
        logEvent(LogEvent::ConfigurationRejected, {{"version", version}, {"error", describe(errorOf(configuration))}});
        return;
    }
    // The first version is whole and every proxy reads it by itself; later ones are passed on by the readers.
    const bool isPassedOn = m_role.isReader && m_holder.current()->version() > 0;
    ConfigurationFound found {valueOf(configuration), valueOf(configuration)};
    if (isPassedOn) {
        found.content = delta;
    }
    m_configurationSource = PlatformSource;
    run(m_distributor.handle(found));
}

void ConfigurationTask::readHead()
{
    if (m_documents) {
        run(m_documents->handle(DocumentWanted {}));
        return;
    }
    callPlatform(ReadRows {{std::string(HeadKey)}}, [this](const PlatformResponse &response) {
        const auto *rows = std::get_if<Rows>(&response);
        setPlatformReadable(rows != nullptr);
        HeadRead head;
        if (rows != nullptr && rows->rows.size() == 1) {
            // A table without a head row holds version 0.
            const Result<HeadRow> row =
                rows->rows.front().revision == 0 ? Result<HeadRow>(HeadRow {}) : HeadRow::tryDecode(rows->rows.front().value);
            if (!isError(row)) {
                head.version = valueOf(row).version;
                run(m_reader.handle(VersionNudge {valueOf(row).version}));
            }
        }
        run(m_gate.handle(head));
    });
}

void ConfigurationTask::setPlatformReadable(bool isReadable)
{
    if (isReadable != m_isPlatformReadable) {
        m_isPlatformReadable = isReadable;
        run(m_distributor.handle(PlatformReadability {isReadable}));
    }
    m_metrics.setGauge("fuchsiastep_platform_reachable", isReadable ? 1 : 0);
    m_metrics.setGauge("fuchsiastep_platform_era", static_cast<double>(m_platform.era()));
    if (isReadable) {
        constexpr double MillisecondsPerSecond = 1000;
        const auto unixSeconds = static_cast<double>(m_clock.unixMilliseconds()) / MillisecondsPerSecond;
        m_metrics.setGauge("fuchsiastep_platform_answered_unix_seconds", unixSeconds);
    }
}

void ConfigurationTask::updateReaderRole()
{
    if (m_roleRevision == m_table.revision()) {
        return;
    }
    m_roleRevision = m_table.revision();
    const std::vector<const MemberRecord *> readers =
        readersOf(m_table, m_settings.dataCentre, m_settings.distribution.readersPerDataCentre);
    ReaderRole role;
    for (std::uint32_t rank = 0; rank < readers.size(); ++rank) {
        if (readers[rank]->proxyId == m_settings.proxyId) {
            role = {true, rank};
        }
    }
    if (role.isReader == m_role.isReader && role.rank == m_role.rank) {
        return;
    }
    if (role.isReader != m_role.isReader) {
        logEvent(LogEvent::ReaderRoleChanged, {{"reader", role.isReader}, {"rank", role.rank}});
    }
    m_role = role;
    if (m_documents) {
        run(m_documents->handle(WatchRole {role.isReader, role.rank}));
    } else {
        run(m_reader.handle(role));
    }
}

void ConfigurationTask::nudgeReaders(ConfigurationVersion version)
{
    run(m_reader.handle(VersionNudge {version}));
    for (const std::string &dataCentre : m_table.dataCentres()) {
        for (const MemberRecord *reader : readersOf(m_table, dataCentre, m_settings.distribution.readersPerDataCentre)) {
            if (reader->proxyId != m_settings.proxyId) {
                sendFrame(reader->proxyId, VersionNudgeFrame {version});
            }
        }
    }
}

void ConfigurationTask::callPlatform(PlatformRequest request, std::function<void(const PlatformResponse &response)> receive)
{
    m_metrics.count("fuchsiastep_control_messages_total", "path=\"platform\"");
    m_platform.send(std::move(request), [this, receive = std::move(receive)](PlatformResponse response) {
        post(PlatformAnswered {receive, std::move(response)});
    });
}

static void logSnapshot(const std::string &peer, const Frame &frame)
{
    const auto *pull = std::get_if<ConfigurationPullFrame>(&frame);
    if (pull != nullptr && pull->versionHeld == 0) {
        logEvent(LogEvent::SnapshotRequested, {{"peer", peer}});
    }
    const auto *part = std::get_if<ConfigurationSnapshotFrame>(&frame);
    if (part != nullptr && part->content.empty()) {
        logEvent(LogEvent::SnapshotServed, {{"peer", peer}, {"version", part->version}});
    }
}

void ConfigurationTask::sendFrame(const std::string &peer, const Frame &frame)
{
    logSnapshot(peer, frame);
    const MemberRecord *member = m_table.find(peer);
    m_links.sendAnyWay(peer, member != nullptr ? std::optional(member->address) : std::nullopt, frame);
}

void ConfigurationTask::runDue()
{
    run(m_distributor.advance());
    if (m_documents) {
        run(m_documents->advance());
    } else {
        run(m_reader.advance());
    }
    run(m_gate.advance());
    std::vector<std::uint64_t> ids;
    for (const auto &[id, change] : m_changes) {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        run(id, m_changes.at(id)->committer.advance());
    }
    finishTurn();
}

void ConfigurationTask::finishTurn()
{
    updateReaderRole();
    const std::optional<TimePoint> nextRead = m_documents ? m_documents->nextDeadline() : m_reader.nextDeadline();
    std::optional<TimePoint> next = earliestDeadline({m_distributor.nextDeadline(), nextRead, m_gate.nextDeadline()});
    for (const auto &[id, change] : m_changes) {
        next = earliestDeadline({next, change->committer.nextDeadline()});
    }
    m_timer.setDeadline(next);
}

} // namespace Fuchsiastep

#include <LibProxy/RequestTask.h>

#include <LibProxy/EarliestDeadline.h>
#include <LibProxy/PlatformCalls.h>
#include <LibProxy/RequestSettings.h>

#include <algorithm>

namespace Fuchsiastep {

static constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);

struct RequestTask::CallInProgress
{
    TimePoint startedAt;
    /// Empty for a service that is not declared, so that callers cannot add metric series at will.
    std::string service;
    std::string traceId;
    /// Empty for none.
    std::string workspace;
    /// Set where the call took a token of its workspace.
    std::optional<AllowanceAdmitted> admitted;
};

RequestTask::RequestTask(const ProxySettings &settings,
    const EdgeProtocol &protocol,
    std::uint64_t incarnation,
    const Clock &clock,
    Random &random,
    MetricsRegistry &metrics,
    PeerLinks &links,
    PlatformClient &platform,
    WorkspaceQuotas *quotas,
    FreshnessLease *freshness,
    RolloutTask *rollouts,
    EventHandler onEvent)
    : m_settings(settings)
    , m_protocol(protocol)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_links(links)
    , m_platform(platform)
    , m_quotas(quotas)
    , m_freshness(freshness)
    , m_rollouts(rollouts)
    , m_onEvent(std::move(onEvent))
    , m_routing(routingSettings(settings), clock, random)
    , m_selector(selectorSettings(settings), m_routing, random)
    , m_coordinator(coordinatorSettings(settings.limits), m_routing, m_selector, clock)
    , m_gate(gateSettings(settings.limits), m_routing.suspects, clock)
    , m_transfers(transferSettings(settings), clock)
    , m_ledger(ledgerSettings(settings, incarnation), clock, random)
    , m_drain({settings.limits.lingerTime, settings.limits.drainTime}, clock)
    , m_upstreamClient(clock,
          protocol,
          {settings.limits.answerBodyBytes, settings.limits.bufferBytes},
          [this](UpstreamClientEvent event) { handleUpstream(std::move(event)); })
    , m_callers(settings.limits.requestBodyBytes, [this](HttpServerEvent event) { handleCallers(std::move(event)); })
    , m_timer(clock, [this] { runDue(); })
    , m_mailbox([this](RequestTaskMessage message) {
        std::visit([this](const auto &content) { handle(content); }, message);
        finishTurn();
    })
{
    m_callers.limitUnreadAnswers(settings.limits.bufferBytes);
    m_callers.limitConnections(settings.limits.clientConnections);
}

RequestTask::~RequestTask() = default;

Result<Done> RequestTask::tryListen(const SocketAddress &address)
{
    return m_callers.tryListen(address);
}

SocketAddress RequestTask::address() const
{
    return m_callers.address();
}

void RequestTask::shareIngress(SharedIngress &ingress)
{
    m_callers.shareIngress(ingress);
}

void RequestTask::post(RequestTaskMessage message)
{
    m_mailbox.post(std::move(message));
}

void RequestTask::handle(const ViewChanged &change)
{
    m_view = change.view;
    if (m_quotas != nullptr) {
        m_quotas->setConfiguration(m_view->configuration());
    }
    if (m_freshness != nullptr) {
        m_freshness->hold(m_view->configuration()->version());
    }
}

void RequestTask::handle(const UpstreamGone &gone)
{
    m_routing.forget(gone.service, gone.upstreamId, gone.remaining);
}

void RequestTask::handle(const ReadinessChanged &change)
{
    m_isReady = change.isReady;
    run(change.isReady ? m_gate.handle(FreezeRecovered {}) : m_gate.handle(FreezeNoticed {}));
}

void RequestTask::handle(const PeerLinkEstablished &established)
{
    if (established.carriesRequests) {
        run(m_coordinator.handle(PeerConnected {established.proxyId, established.connectionId, established.incarnation}));
    }
}

void RequestTask::handle(const PeerFrameReceived &received)
{
    std::visit(Overloaded {
                   [&](const RequestFrame &frame) { receiveRequest(received, frame); },
                   [&](const CancelFrame &frame) {
                       run(m_transfers.cancel(received.connectionId, frame.requestId));
                       run(m_gate.handle(PeerCancel {received.connectionId, frame.requestId}));
                   },
                   [&](const AnswerPartAckFrame &frame) { run(m_transfers.acknowledge(received.connectionId, frame)); },
                   [&](const AnswerFrame &frame) {
                       run(m_coordinator.handle(PeerAnswer {received.proxyId, received.connectionId, received.incarnation, frame}));
                   },
                   [&](const AnswerPartFrame &frame) {
                       m_links.sendOn(received.connectionId, AnswerPartAckFrame {frame.requestId, frame.offset + frame.body.size()});
                       run(m_coordinator.handle(PeerAnswer {received.proxyId, received.connectionId, received.incarnation, frame}));
                   },
                   [](const auto &) {},
               },
        received.frame);
}

void RequestTask::handle(const PeerConnectionClosed &closed)
{
    if (!closed.carriesRequests) {
        run(m_transfers.closeConnection(closed.connectionId));
        run(m_gate.handle(PeerDisconnected {closed.connectionId}));
    } else if (closed.neverConnected) {
        run(m_coordinator.handle(PeerConnectFailed {closed.proxyId, closed.connectionId}));
    } else {
        run(m_coordinator.handle(PeerConnectionLost {closed.proxyId, closed.connectionId}));
    }
}

void RequestTask::handle(const UpstreamAnnouncement &announcement)
{
    if (m_upstream && announcement.isRestartOf(*m_upstream)) {
        run(m_gate.handle(UpstreamCrashed {}));
        m_upstreamClient.closeIdleConnections();
    }
    const bool isAnotherStart = !m_upstream || announcement.upstreamId != m_upstream->upstreamId || announcement.isRestartOf(*m_upstream);
    if (m_rollouts != nullptr && isAnotherStart) {
        const auto version = announcement.labels.find(VersionLabel);
        m_rollouts->recorder().setUpstream(
            announcement.service, version == announcement.labels.end() ? std::string() : version->second, announcement.coldFor());
    }
    m_upstream = announcement;
    m_upstreamClient.setUpstream(announcement.address, announcement.connections);
    if (announcement.isDraining) {
        run(m_gate.handle(UpstreamLost {}));
        return;
    }
    run(m_gate.handle(UpstreamAnnounced {
        announcement.upstreamId, announcement.service, announcement.slots, announcement.connections, announcement.doRefusalsMeanNotRun}));
    run(m_gate.handle(UpstreamLoadReported {announcement.loadPermille}));
}

void RequestTask::handle(const UpstreamSilent &)
{
    run(m_gate.handle(UpstreamLost {}));
}

void RequestTask::handle(const DrainStarted &)
{
    m_drain.start();
    m_callers.startClosing(m_settings.limits.lingerTime);
    run(m_coordinator.handle(DrainRequested {m_drain.endsAt()}));
    run(m_gate.handle(DrainRequested {m_drain.endsAt()}));
}

bool RequestTask::mayTake(const Call &call, const RouteRules &rules) const
{
    const bool isOfOwnRun = m_upstream && call.caller == m_upstream->service && m_gate.running() > 0;
    const Duration timeLeft = std::min(rules.timeout, call.timeLeft.value_or(rules.timeout));
    return !m_isDrainReported && m_drain.mayTake(timeLeft, rules.targetLatency, isOfOwnRun);
}

void RequestTask::handle(const CallerLimitsChanged &change)
{
    HttpServerLimits limits = change.limits;
    const auto reportLimit = [](const char *field, std::uint64_t given, std::uint64_t used) {
        if (given > used) {
            logEvent(LogEvent::ConfigurationFieldLimited, {{"field", field}, {"given", given}, {"used", used}});
        }
    };
    limits.sizes.bodyBytes = std::min(limits.sizes.bodyBytes, m_settings.limits.requestBodyBytes);
    limits.sizes.headBytes =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(limits.sizes.headBytes, m_settings.limits.requestHeadBytes()));
    reportLimit("request body bytes", change.limits.sizes.bodyBytes, limits.sizes.bodyBytes);
    reportLimit("request head bytes", change.limits.sizes.headBytes, limits.sizes.headBytes);
    m_callers.setLimits(limits);
}

void RequestTask::handle(const RetriesChanged &change)
{
    m_routing.retries.setFleetBudget(change.retries);
}

void RequestTask::handle(const ProxyCountChanged &change)
{
    m_routing.setProxyCount(change.count);
}

void RequestTask::handle(const SuspectLearned &learned)
{
    m_routing.suspects.merge({learned.entry});
}

void RequestTask::handle(const PlatformRestored &restored)
{
    run(m_ledger.handle(restored));
}

void RequestTask::handle(const PlatformReply &reply)
{
    run(m_ledger.handle(reply));
}

void RequestTask::handle(const StatusWanted &wanted)
{
    const RequestCounts &counts = m_coordinator.counts();
    JsonValue::Object requests {
        {"received", counts.received},
        {"answered", counts.answered},
        {"not_run", counts.notRun},
        {"unknown", counts.unknown},
        {"tries", counts.tries},
        {"retries", counts.retries},
        {"in_flight", static_cast<std::uint64_t>(m_coordinator.inFlight())},
    };
    JsonValue::Object part {{"requests", std::move(requests)}, {"draining", m_drain.isDraining()}};
    wanted.reply(std::move(part));
}

void RequestTask::handleCallers(HttpServerEvent event)
{
    std::visit(Overloaded {
                   [this](HttpRequest &request) { startCall(std::move(request)); },
                   [this](const HttpRequestAbandoned &abandoned) {
                       if (m_calls.erase(abandoned.token) > 0) {
                           m_metrics.count("fuchsiastep_calls_abandoned_total");
                           if (m_awaitingQuota.erase(abandoned.token) > 0) {
                               m_quotas->budget().cancel(abandoned.token);
                           }
                           run(m_coordinator.handle(CallerGone {abandoned.token}));
                       }
                   },
               },
        event);
    finishTurn();
}

void RequestTask::startCall(HttpRequest request)
{
    // Such a call could reach an upstream before its end is told.
    if (request.hasClientLeft) {
        return;
    }
    const std::uint64_t token = request.token;
    m_calls[token] = {m_clock.now(), {}, {}};
    Result<Call> parsed = m_protocol.tryParseCall(std::move(request));
    if (isError(parsed)) {
        logEvent(LogEvent::HttpRequestRejected, {{"error", describe(errorOf(parsed))}});
        refuseCall(token, errorOf(parsed));
        return;
    }
    Call call = valueOf(std::move(parsed));
    m_calls[token].traceId = call.traceId;
    if (!m_isReady) {
        refuseCall(token, {ErrorCode::NotReady, m_settings.proxyId});
        return;
    }
    const Result<std::shared_ptr<const Route>> route = tryResolve(call);
    if (isError(route)) {
        refuseCall(token, errorOf(route));
        return;
    }
    if (!mayTake(call, valueOf(route)->selector->rules)) {
        refuseCall(token, {ErrorCode::Draining, m_settings.proxyId});
        return;
    }
    const Result<std::shared_ptr<const Workspace>> workspace =
        tryAuthenticateCall(call, *m_view->configuration(), valueOf(route)->selector->rules, m_protocol.workspaceHeaders);
    const bool hasKey = isError(workspace) ? errorOf(workspace).code == ErrorCode::WorkspaceKeyUnknown : valueOf(workspace) != nullptr;
    if (hasKey && m_freshness != nullptr && !m_freshness->isValid()) {
        constexpr Duration RetryAfter = std::chrono::milliseconds(500);
        refuseCall(token, {ErrorCode::KeyUnconfirmed, {}}, RetryAfter + m_selector.jitter(RetryAfter));
        return;
    }
    if (isError(workspace)) {
        refuseCall(token, errorOf(workspace));
        return;
    }
    call.service = valueOf(route)->selector->service;
    m_calls[token].service = call.service;
    CallerRequest accepted;
    accepted.token = token;
    accepted.traceId = std::move(call.traceId);
    accepted.caller = std::move(call.caller);
    accepted.service = std::move(call.service);
    accepted.method = std::move(call.method);
    accepted.path = std::move(call.path);
    accepted.headers = std::move(call.headers);
    accepted.key = std::move(call.key);
    accepted.timeLeft = call.timeLeft;
    accepted.body = std::move(call.body);
    accepted.route = m_rollouts != nullptr ? m_rollouts->split().select(valueOf(route)) : valueOf(route);
    accepted.workspace = valueOf(workspace);
    accepted.authorizedUntilMs = hasKey && m_freshness != nullptr ? m_freshness->startsBeforeMs() : 0;
    m_calls[token].workspace = accepted.workspace != nullptr ? accepted.workspace->name : std::string();
    admit(std::move(accepted));
}

void RequestTask::admit(CallerRequest request)
{
    const std::optional<AllowanceLimit> quota =
        m_quotas != nullptr && request.workspace != nullptr ? quotaOf(*request.workspace) : std::nullopt;
    if (!quota) {
        run(m_coordinator.handle(std::move(request)));
        return;
    }
    const std::uint64_t token = request.token;
    const AllowanceVerdict verdict = m_quotas->budget().take(token, request.workspace->name, *quota);
    m_awaitingQuota.emplace(token, std::move(request));
    decide(token, verdict);
    if (m_quotas->budget().isReportWanted()) {
        m_onEvent(QuotaTokensWanted {});
    }
}

void RequestTask::decide(std::uint64_t token, const AllowanceVerdict &verdict)
{
    const auto found = m_awaitingQuota.find(token);
    if (found == m_awaitingQuota.end() || std::holds_alternative<AllowanceWaiting>(verdict)) {
        return;
    }
    CallerRequest request = std::move(found->second);
    m_awaitingQuota.erase(found);
    std::visit(Overloaded {
                   [&](const AllowanceAdmitted &admitted) {
                       m_calls[token].admitted = admitted;
                       run(m_coordinator.handle(std::move(request)));
                   },
                   [&](const AllowanceExhausted &exhausted) {
                       refuseCall(token, {ErrorCode::QuotaExceeded, request.workspace->name}, exhausted.retryAfter);
                   },
                   [&](const AllowanceUnavailable &unavailable) {
                       refuseCall(token, {ErrorCode::QuotaUnavailable, request.workspace->name}, unavailable.retryAfter);
                   },
                   [](const AllowanceWaiting &) {},
               },
        verdict);
}

void RequestTask::handle(const QuotaDecided &decided)
{
    for (const AllowanceDecision &decision : decided.decisions) {
        decide(decision.requestId, decision.verdict);
    }
}

Result<std::shared_ptr<const Route>> RequestTask::tryResolve(const Call &call)
{
    if (!call.service.empty()) {
        return m_view->tryResolve(call.caller, call.service, call.method, call.path);
    }
    const std::string_view path = std::string_view(call.path).substr(0, call.path.find('?'));
    const Result<std::shared_ptr<const HostRoute>> hostRoute = m_view->tryResolveHost(call.host, path);
    if (isError(hostRoute)) {
        return errorOf(hostRoute);
    }
    const HostRoutePart &part = valueOf(hostRoute)->parts.at(m_split.next(*valueOf(hostRoute)));
    std::shared_ptr<const Route> route = m_view->routeOf(part.service, part.selector);
    if (route == nullptr) {
        return Error {ErrorCode::ServiceUnknown, part.service};
    }
    return route;
}

void RequestTask::refuseCall(std::uint64_t token, const Error &error, std::optional<Duration> retryAfter)
{
    CallerAnswer answer;
    answer.token = token;
    answer.outcome = RequestOutcome::NotRun;
    answer.code = error.code;
    answer.detail = error.detail;
    answer.retryAfter = retryAfter;
    finishCall(std::move(answer));
}

void RequestTask::finishCall(CallerAnswer answer)
{
    const auto call = m_calls.find(answer.token);
    if (call == m_calls.end()) {
        return;
    }
    const std::string labels = "service=\"" + call->second.service + "\",outcome=\"" + std::string(nameOf(answer.outcome)) + '"';
    m_metrics.count("fuchsiastep_requests_total", labels);
    if (answer.outcome == RequestOutcome::NotRun && call->second.admitted && m_quotas != nullptr) {
        m_quotas->budget().giveBack(call->second.workspace, *call->second.admitted);
    }
    m_metrics.observe("fuchsiastep_request_seconds", m_clock.now() - call->second.startedAt);
    if (answer.outcome == RequestOutcome::Unknown) {
        logEvent(LogEvent::RequestUnknown,
            {{"request", call->second.traceId},
                {"service", call->second.service},
                {"error", describe({answer.code, answer.detail})},
                {"upstream", answer.upstreamId},
                {"tries", answer.tries},
                {"version", m_view->configuration()->version()},
                {"elapsed_us", (m_clock.now() - call->second.startedAt).count()}});
    } else if (answer.outcome == RequestOutcome::Answered) {
        logEvent(LogEvent::RequestAnswered,
            {{"request", call->second.traceId},
                {"service", call->second.service},
                {"status", answer.status},
                {"upstream", answer.upstreamId},
                {"tries", answer.tries},
                {"elapsed_us", (m_clock.now() - call->second.startedAt).count()},
                {"bytes", answer.body.size()}});
    } else if (answer.outcome == RequestOutcome::NotRun) {
        logEvent(LogEvent::RequestRefused,
            {{"request", call->second.traceId},
                {"service", call->second.service},
                {"error", describe({answer.code, answer.detail})},
                {"upstream", answer.upstreamId},
                {"tries", answer.tries},
                {"version", m_view->configuration()->version()},
                {"elapsed_us", (m_clock.now() - call->second.startedAt).count()},
                {"retry_after_us", answer.retryAfter.value_or(Duration(0)).count()}});
    }
    m_calls.erase(call);
    m_callers.answer(m_protocol.formatAnswer(std::move(answer)));
}

void RequestTask::handleUpstream(UpstreamClientEvent event)
{
    std::visit(
        Overloaded {
            [this](UpstreamAnswered &answered) {
                m_metrics.observe("fuchsiastep_upstream_seconds", answered.elapsed);
                if (m_rollouts != nullptr && answered.wasRefused) {
                    m_rollouts->recorder().endWithout(answered.localId, false);
                } else if (m_rollouts != nullptr) {
                    m_rollouts->recorder().end(answered.localId, answered.status, answered.elapsed);
                }
                logEvent(
                    LogEvent::RunEnded, {{"run", answered.localId}, {"status", answered.status}, {"elapsed_us", answered.elapsed.count()}});
                run(m_gate.handle(UpstreamAnswer {
                    answered.localId, answered.status, std::move(answered.headers), std::move(answered.body), answered.wasRefused}));
            },
            [this](const UpstreamRequestFailed &failed) {
                m_metrics.count("fuchsiastep_upstream_failures_total");
                if (m_rollouts != nullptr) {
                    m_rollouts->recorder().endWithout(failed.localId, failed.mayHaveRun && failed.error.code != ErrorCode::Cancelled);
                }
                logEvent(LogEvent::RunEnded, {{"run", failed.localId}, {"error", describe(failed.error)}});
                if (failed.error.code == ErrorCode::AnswerTooLarge) {
                    m_metrics.count("fuchsiastep_upstream_answers_too_large_total");
                    logEvent(LogEvent::UpstreamAnswerTooLarge,
                        {{"upstream", m_upstream ? m_upstream->upstreamId : std::string()},
                            {"run", failed.localId},
                            {"error", describe(failed.error)}});
                }
                const UpstreamFailed failure {failed.localId, failed.mayHaveRun, failed.error.code};
                if (failed.isConnectionBroken && failed.mayHaveRun) {
                    m_unconfirmedFailures.push_back(failure);
                } else {
                    run(m_gate.handle(failure));
                }
                if (failed.isConnectionBroken) {
                    confirmCrash();
                }
            },
        },
        event);
    finishTurn();
}

void RequestTask::confirmCrash()
{
    // A broken connection alone does not prove a crash: an upstream may close a connection and live on. The callers are
    // told after the check, so that they know of a crash before they try another upstream.
    if (m_isCrashCheckRunning) {
        return;
    }
    m_isCrashCheckRunning = true;
    m_upstreamClient.checkListening([this, count = m_unconfirmedFailures.size()](bool isListening) {
        m_isCrashCheckRunning = false;
        if (isListening) {
            // Later failures need a later check.
            const auto end = m_unconfirmedFailures.begin() + static_cast<std::ptrdiff_t>(count);
            const std::vector<UpstreamFailed> failures(m_unconfirmedFailures.begin(), end);
            m_unconfirmedFailures.erase(m_unconfirmedFailures.begin(), end);
            for (const UpstreamFailed &failure : failures) {
                run(m_gate.handle(failure));
            }
            if (!m_unconfirmedFailures.empty()) {
                confirmCrash();
            }
        } else {
            m_unconfirmedFailures.clear();
            logEvent(LogEvent::UpstreamCrashed, {{"upstream", m_upstream ? m_upstream->upstreamId : std::string()}});
            m_metrics.count("fuchsiastep_upstream_crashes_total");
            run(m_gate.handle(UpstreamCrashed {}));
            run(m_gate.handle(UpstreamLost {}));
        }
        finishTurn();
    });
}

void RequestTask::run(std::vector<CoordinatorOutput> outputs)
{
    for (CoordinatorOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](const SendRequest &send) {
                           logEvent(LogEvent::RequestPlaced,
                               {{"request", send.frame.traceId},
                                   {"try", send.frame.requestId},
                                   {"selector", send.frame.selector},
                                   {"upstream", send.frame.upstreamId},
                                   {"version", m_view->configuration()->version()},
                                   {"time_left_ms", send.frame.timeLeftMs},
                                   {"target_left_ms", send.frame.targetLeftMs},
                                   {"maximum_wait_ms", send.frame.maximumWaitMs},
                                   {"alone", send.frame.isIsolated}});
                           m_coordinator.noteConnection(send.frame.requestId, m_links.sendTo(send.proxyId, send.address, send.frame));
                       },
                       [this](const SendCancel &cancel) { m_links.sendToOpen(cancel.proxyId, cancel.frame); },
                       [this](CallerAnswer &end) { finishCall(std::move(end)); },
                   },
            output);
    }
}

static std::string joined(const std::vector<std::uint64_t> &numbers)
{
    std::string text;
    for (const std::uint64_t number : numbers) {
        text += (text.empty() ? "" : ",") + std::to_string(number);
    }
    return text;
}

void RequestTask::run(std::vector<GateOutput> outputs)
{
    for (GateOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](const StartUpstreamRequest &start) {
                           logEvent(LogEvent::RunStarted,
                               {{"request", start.frame.traceId},
                                   {"try", start.frame.requestId},
                                   {"run", start.localId},
                                   {"wait_us", start.waited.count()},
                                   {"time_left_ms", start.frame.timeLeftMs},
                                   {"running", m_gate.running()},
                                   {"queued", m_gate.waiting()}});
                           if (m_rollouts != nullptr) {
                               m_rollouts->recorder().start(start.localId, start.frame.selector);
                           }
                           m_upstreamClient.start(start.localId, start.frame, std::chrono::milliseconds(start.frame.timeLeftMs));
                       },
                       [this](const AbortUpstreamRequest &abort) { m_upstreamClient.abort(abort.localId); },
                       [this](SendAnswer &answer) { sendAnswer(answer); },
                       [this](const ClaimWanted &wanted) { run(m_ledger.handle(wanted)); },
                       [this](const ClaimFinished &finished) { run(m_ledger.handle(finished)); },
                       [this](const ClaimAbandoned &abandoned) { run(m_ledger.handle(abandoned)); },
                       [this](const DrainFinished &) { m_isGateDrained = true; },
                       [this](const CrashReport &report) {
                           logEvent(LogEvent::UpstreamCrashed,
                               {{"upstream", report.upstreamId},
                                   {"in_flight", report.fingerprints.size()},
                                   {"fingerprints", joined(report.fingerprints)},
                                   {"alone", report.wasAlone}});
                           m_onEvent(CrashObserved {report.fingerprints});
                       },
                   },
            output);
    }
}

void RequestTask::sendAnswer(SendAnswer &answer)
{
    if (answer.frame.outcome != RequestOutcome::Answered && answer.frame.code != ErrorCode::Cancelled
        && answer.frame.code != ErrorCode::PlacementDeclined) {
        logEvent(LogEvent::TryFailed,
            {{"request", answer.traceId},
                {"try", answer.frame.requestId},
                {"outcome", nameOf(answer.frame.outcome)},
                {"error", describe({answer.frame.code, answer.frame.detail})},
                {"running", answer.frame.load.slotsInUse},
                {"queued", answer.frame.load.queued},
                {"service_ms", answer.frame.load.serviceMs},
                {"transfer_ms", answer.frame.load.transferMs}});
    }
    m_links.sendOn(answer.connectionId, answer.frame);
    run(m_transfers.start(answer.connectionId, std::move(answer.parts)));
}

void RequestTask::run(const std::vector<SendPart> &parts)
{
    for (const SendPart &part : parts) {
        m_links.sendOn(part.connectionId, part.frame);
    }
}

void RequestTask::receiveRequest(const PeerFrameReceived &received, const RequestFrame &frame)
{
    constexpr double Megabyte = 1e6;
    run(m_gate.handle(TransferBacklog {m_transfers.backlog(), m_transfers.timeFor(Megabyte)}));
    PeerRequest request {received.connectionId, frame, received.proxyId == m_settings.proxyId};
    if (frame.sentAtMs > 0) {
        request.transitDelay =
            m_transitDelays.record(received.proxyId, received.incarnation, frame.sentAtMs, m_clock.uninterruptedMilliseconds());
    }
    run(m_gate.handle(request));
}

void RequestTask::run(std::vector<ClaimOutput> outputs)
{
    for (ClaimOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](PlatformCall &call) {
                           sendPlatformCall(m_platform, std::move(call), [this](PlatformReply reply) { post(std::move(reply)); });
                       },
                       [this](const ClaimSettled &settled) { run(m_gate.handle(settled)); },
                   },
            output);
    }
}

void RequestTask::runDue()
{
    run(m_coordinator.advance());
    run(m_gate.advance());
    run(m_ledger.advance());
    if (m_quotas != nullptr) {
        handle(QuotaDecided {m_quotas->budget().advance()});
    }
    finishTurn();
}

void RequestTask::finishTurn()
{
    constexpr std::size_t MaximumSuspectsPerTurn = 32;
    std::vector<CrashSuspectEntry> suspects = m_routing.suspects.takeChanges(MaximumSuspectsPerTurn);
    for (const CrashSuspectEntry &entry : suspects) {
        const Duration heldOff = m_routing.suspects.holdOffLeft(entry.fingerprint);
        logEvent(LogEvent::SuspectChanged,
            {{"fingerprint", entry.fingerprint},
                {"crashes", entry.openCrashes()},
                {"crashes_alone", entry.openCrashesAlone()},
                {"held_off_us", heldOff.count()}});
        if (heldOff > Duration(0)) {
            logEvent(LogEvent::FingerprintBlamed, {{"fingerprint", entry.fingerprint}, {"crashes", entry.openCrashes()}});
        }
    }
    if (!suspects.empty()) {
        m_onEvent(SuspectsChanged {std::move(suspects)});
    }
    // Answers that cannot leave fill the memory; the upstream then has to wait as well.
    m_upstreamClient.setReading(m_transfers.bytesWaiting() <= m_settings.limits.bufferBytes);
    updateGauges();
    const std::optional<TimePoint> nextQuota = m_quotas != nullptr ? m_quotas->budget().nextDeadline() : std::nullopt;
    std::optional<TimePoint> next =
        earliestDeadline({m_coordinator.nextDeadline(), m_gate.nextDeadline(), m_ledger.nextDeadline(), nextQuota});
    if (m_drain.isDraining() && !m_isDrainReported) {
        const bool isIdle = m_isGateDrained && m_ledger.isIdle() && m_coordinator.inFlight() == 0 && m_callers.requestsOpen() == 0
            && !m_links.hasQueuedBytes() && m_transfers.isIdle() && !m_drain.isLingering();
        if (isIdle) {
            m_isDrainReported = true;
            m_onEvent(RequestsDrained {});
        } else {
            // Sockets do not tell when they have taken the last byte, so that is looked up until it is so.
            next = earliestDeadline({next, m_clock.now() + DrainPollInterval});
        }
    }
    m_timer.setDeadline(next);
}

void RequestTask::updateGauges()
{
    const RequestCounts &counts = m_coordinator.counts();
    m_metrics.setGauge("fuchsiastep_requests_in_flight", static_cast<double>(m_calls.size()));
    m_metrics.setGauge("fuchsiastep_upstream_slots_in_use", m_gate.running());
    m_metrics.setGauge("fuchsiastep_upstream_waiting", static_cast<double>(m_gate.waiting()));
    m_metrics.setGauge("fuchsiastep_retries", static_cast<double>(counts.retries));
    m_metrics.setGauge("fuchsiastep_late_answers", static_cast<double>(counts.lateAnswers));
}

} // namespace Fuchsiastep

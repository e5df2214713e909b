#include <LibRequest/RequestCoordinator.h>

#include <LibCore/Digest.h>
#include <LibRequest/AnswerStatus.h>
#include <LibRequest/PriorityHeader.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Fuchsiastep {

// Another upstream may well take a request that ended as not run for one of these reasons.
static constexpr std::array NotRunElsewhere {
    ErrorCode::ConnectionRefused,
    ErrorCode::NoUpstream,
    ErrorCode::UpstreamBusy,
    ErrorCode::PlacementDeclined,
    ErrorCode::QueueTimeout,
    ErrorCode::Draining,
    ErrorCode::NotReady,
    ErrorCode::UpstreamCrashed,
    ErrorCode::UpstreamRefused,
    ErrorCode::ClaimReleased,
};

// The upstream that was chosen for a request in isolation is not there, so that the next one may take it.
static constexpr std::array UpstreamIsGone {
    ErrorCode::ConnectionRefused,
    ErrorCode::NoUpstream,
    ErrorCode::Draining,
    ErrorCode::NotReady,
};

static constexpr std::uint16_t ShedStatus = 503;

static const RouteRules &rulesOf(const CallerRequest &request)
{
    return request.route->selector->rules;
}

/// Requests of a route with a target are placed where they are expected to be answered first, and are tried elsewhere as
/// long as that helps.
static bool hasTarget(const RouteRules &rules)
{
    return rules.targetLatency.count() > 0;
}

/// The priority of the workspace replaces that of the route.
static RequestPriority priorityOf(const CallerRequest &request)
{
    const RequestPriority ofRoute = rulesOf(request).priority;
    return request.workspace != nullptr ? request.workspace->priority.value_or(ofRoute) : ofRoute;
}

/// Size of what a frame carries of the head of a request, in bytes.
static std::size_t headBytes(const CallerRequest &request)
{
    constexpr std::size_t LengthBytes = 10;
    std::size_t bytes = request.method.size() + request.path.size() + request.key.size();
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size() + LengthBytes;
    }
    return bytes;
}

/// Memory that a request takes while it is in flight, in bytes. Short fields take far more than their text.
static std::uint64_t memoryOf(const CallerRequest &request)
{
    constexpr std::uint64_t FieldBytes = 128;
    // A short path is part of the request itself.
    constexpr std::uint64_t InlineBytes = 15;
    std::uint64_t bytes = request.body.size() + (request.path.size() > InlineBytes ? request.path.size() : 0);
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size() + FieldBytes;
    }
    return bytes;
}

RequestCoordinator::RequestCoordinator(Settings settings, RoutingState &routing, UpstreamSelector &selector, const Clock &clock)
    : m_settings(settings), m_routing(routing), m_selector(selector), m_clock(clock)
{ }

std::vector<CoordinatorOutput> RequestCoordinator::handle(const CoordinatorInput &input)
{
    std::visit([this](const auto &message) { apply(message); }, input);
    wakeWaiting();
    return takeOutputs();
}

std::vector<CoordinatorOutput> RequestCoordinator::advance()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_clock.now()) {
        const CallerToken token = m_deadlines.begin()->second;
        Pending &pending = m_pending.at(token);
        RequestOutcome outcome = RequestOutcome::NotRun;
        if (pending.current) {
            m_outputs.emplace_back(SendCancel {pending.current->endpoint->proxyId, {pending.current->requestId}});
            m_routing.ejections.recordFailure(*pending.current->endpoint);
            endTry(token, pending);
            outcome = RequestOutcome::Unknown;
        }
        finishWithout(token, outcome, ErrorCode::DeadlineExceeded, pending.lastDetail);
    }
    wakeWaiting();
    return takeOutputs();
}

std::optional<TimePoint> RequestCoordinator::nextDeadline() const
{
    return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
}

const RequestCounts &RequestCoordinator::counts() const
{
    return m_counts;
}

std::size_t RequestCoordinator::inFlight() const
{
    return m_pending.size();
}

std::uint64_t RequestCoordinator::bufferedBytes() const
{
    return m_bufferedBytes;
}

void RequestCoordinator::apply(const CallerRequest &request)
{
    if (m_pending.contains(request.token)) {
        ++m_counts.duplicates;
        return;
    }
    ++m_counts.received;
    if (!request.route || !request.route->selector) {
        refuse(request, {ErrorCode::NoRoute, request.service});
        return;
    }
    const RouteRules &rules = rulesOf(request);
    const bool isRepeatable = rules.isRepeatable(request.method);
    if (const std::optional<Error> error = refusal(request, isRepeatable)) {
        refuse(request, *error);
        return;
    }
    m_routing.ejections.ensureServiceSize(request.service, request.route->endpoints.size());
    Pending pending;
    pending.request = request;
    pending.isRepeatable = isRepeatable;
    pending.deadline = std::min(m_latestDeadline, m_clock.now() + std::min(rules.timeout, request.timeLeft.value_or(rules.timeout)));
    if (hasTarget(rules)) {
        pending.targetAt = m_clock.now() + rules.targetLatency;
    }
    m_bufferedBytes += memoryOf(request);
    m_deadlines.emplace(pending.deadline, request.token);
    m_pending.emplace(request.token, std::move(pending));
    dispatch(request.token);
}

void RequestCoordinator::apply(const CallerGone &gone)
{
    const auto found = m_pending.find(gone.token);
    if (found == m_pending.end()) {
        return;
    }
    ++m_counts.cancelled;
    Pending &pending = found->second;
    RequestOutcome outcome = RequestOutcome::NotRun;
    if (pending.current) {
        m_outputs.emplace_back(SendCancel {pending.current->endpoint->proxyId, {pending.current->requestId}});
        endTry(gone.token, pending);
        outcome = RequestOutcome::Unknown;
    }
    // The request is counted as ended, but nobody is left to be told.
    const std::size_t outputCount = m_outputs.size();
    finishWithout(gone.token, outcome, ErrorCode::Cancelled, {});
    m_outputs.resize(outputCount, CallerAnswer {});
}

void RequestCoordinator::apply(const PeerConnected &connected)
{
    const std::pair connection(connected.connectionId, connected.incarnation);
    const auto known = m_connections.find(connected.proxyId);
    if (known != m_connections.end() && known->second != connection) {
        // The new connection replaces one whose end was not told; its answers will not come.
        apply(PeerConnectionLost {connected.proxyId});
    }
    m_connections[connected.proxyId] = connection;
}

void RequestCoordinator::apply(const PeerAnswer &answer)
{
    const std::uint64_t requestId = std::visit([](const auto &frame) { return frame.requestId; }, answer.frame);
    const auto found = m_tries.find(requestId);
    if (found == m_tries.end()) {
        ++m_counts.lateAnswers;
        return;
    }
    const CallerToken token = found->second;
    Pending &pending = m_pending.at(token);
    Try &current = *pending.current;
    const std::pair connection(answer.connectionId, answer.incarnation);
    const auto known = m_connections.find(answer.proxyId);
    if (answer.proxyId != current.endpoint->proxyId || known == m_connections.end() || known->second != connection) {
        ++m_counts.crossedAnswers;
        return;
    }
    const std::uint64_t bytesBefore = current.assembly.bytes();
    const std::uint64_t duplicatesBefore = current.assembly.duplicates();
    const AnswerAssembly::State state = std::visit([&](const auto &frame) { return current.assembly.add(frame); }, answer.frame);
    m_bufferedBytes += current.assembly.bytes() - bytesBefore;
    m_counts.duplicates += current.assembly.duplicates() - duplicatesBefore;
    if (state == AnswerAssembly::State::Complete) {
        endAnswered(token, pending);
        return;
    }
    if (state == AnswerAssembly::State::Broken) {
        endUnfinishedAnswer(token, ErrorCode::AnswerTruncated, "parts of the answer do not fit");
    } else if (m_bufferedBytes > m_settings.maximumBufferedBytes) {
        endLargestAnswer();
    }
}

void RequestCoordinator::endLargestAnswer()
{
    const auto bytesOf = [](const auto &entry) -> std::uint64_t {
        return entry.second.current ? entry.second.current->assembly.bytes() : 0;
    };
    const auto largest = std::max_element(
        m_pending.begin(), m_pending.end(), [&](const auto &left, const auto &right) { return bytesOf(left) < bytesOf(right); });
    if (largest == m_pending.end() || bytesOf(*largest) == 0) {
        return;
    }
    endUnfinishedAnswer(largest->first, ErrorCode::AnswerTooLarge, "the largest of the answers that this proxy keeps");
}

void RequestCoordinator::endUnfinishedAnswer(CallerToken token, ErrorCode code, std::string detail)
{
    Pending &pending = m_pending.at(token);
    ++m_counts.truncatedAnswers;
    m_outputs.emplace_back(SendCancel {pending.current->endpoint->proxyId, {pending.current->requestId}});
    endTry(token, pending);
    retryOrFinish(token, pending, RequestOutcome::Unknown, code, std::move(detail));
}

void RequestCoordinator::apply(const PeerConnectionLost &lost)
{
    forgetConnection(lost.proxyId, lost.connectionId);
    for (const std::uint64_t requestId : triesOn(lost.proxyId, lost.connectionId)) {
        const auto found = m_tries.find(requestId);
        if (found == m_tries.end()) {
            continue;
        }
        const CallerToken token = found->second;
        Pending &pending = m_pending.at(token);
        const bool isCutOff = pending.current->assembly.hasHeader();
        m_counts.truncatedAnswers += isCutOff ? 1 : 0;
        m_routing.ejections.recordConnectionLoss(*pending.current->endpoint);
        endTry(token, pending);
        retryOrFinish(token,
            pending,
            RequestOutcome::Unknown,
            isCutOff ? ErrorCode::AnswerTruncated : ErrorCode::OutcomeUnknown,
            "the connection to " + lost.proxyId + " closed");
    }
}

void RequestCoordinator::apply(const PeerConnectFailed &failed)
{
    forgetConnection(failed.proxyId, failed.connectionId);
    for (const std::uint64_t requestId : triesOn(failed.proxyId, failed.connectionId)) {
        const auto found = m_tries.find(requestId);
        if (found == m_tries.end()) {
            continue;
        }
        const CallerToken token = found->second;
        Pending &pending = m_pending.at(token);
        m_routing.ejections.recordConnectionLoss(*pending.current->endpoint);
        endTry(token, pending);
        retryOrFinish(token, pending, RequestOutcome::NotRun, ErrorCode::ConnectionRefused, failed.proxyId + " cannot be reached");
    }
}

void RequestCoordinator::apply(const DrainRequested &drain)
{
    m_latestDeadline = drain.endsAt;
    m_deadlines.clear();
    for (auto &[token, pending] : m_pending) {
        pending.deadline = std::min(pending.deadline, m_latestDeadline);
        m_deadlines.emplace(pending.deadline, token);
    }
}

std::optional<Error> RequestCoordinator::refusal(const CallerRequest &request, bool isRepeatable) const
{
    if (request.body.size() > m_settings.maximumRequestBytes) {
        return Error {ErrorCode::BodyTooLarge, std::to_string(m_settings.maximumRequestBytes) + " bytes are allowed"};
    }
    // A frame beyond the limit would end the connection to the peer, with every other request on it.
    if (headBytes(request) > m_settings.maximumRequestHeadBytes) {
        return Error {ErrorCode::HeadTooLarge, std::to_string(m_settings.maximumRequestHeadBytes) + " bytes are allowed"};
    }
    if (!isRepeatable && request.key.empty() && rulesOf(request).isKeyRequired) {
        return Error {ErrorCode::KeyRequired, request.method + " on " + request.service};
    }
    if (m_pending.size() >= m_settings.maximumInFlight || m_bufferedBytes + memoryOf(request) > m_settings.maximumBufferedBytes) {
        return Error {ErrorCode::UpstreamBusy, "this proxy holds as many requests as it may"};
    }
    return std::nullopt;
}

void RequestCoordinator::dispatch(CallerToken token)
{
    Pending &pending = m_pending.at(token);
    if (pending.deadline <= m_clock.now()) {
        finishWithout(token, RequestOutcome::NotRun, ErrorCode::DeadlineExceeded, pending.lastDetail);
        return;
    }
    bool isIsolated = false;
    if (!passSuspicion(token, pending, isIsolated)) {
        return;
    }
    const RouteRules &rules = rulesOf(pending.request);
    const std::vector<std::string> excluded = isIsolated ? pending.triedUpstreamIds : excludedUpstreamIds(pending);
    const Result<Placement> placement = isIsolated ? trialPlacement(pending, excluded) : tryPlace(pending, excluded);
    if (isError(placement)) {
        if (pending.offers > 0) {
            finishWithout(token, RequestOutcome::NotRun, pending.lastCode, pending.lastDetail);
        } else if (!excluded.empty()) {
            finishWithout(token, RequestOutcome::NotRun, ErrorCode::UpstreamBusy, "every upstream has just declined such requests");
        } else {
            finishWithout(token, RequestOutcome::NotRun, errorOf(placement).code, errorOf(placement).detail);
        }
        return;
    }
    // An offer that was declined reached no upstream, so that it takes nothing from the budget of a route with a target.
    const std::uint32_t triesBefore = hasTarget(rules) ? pending.arrivals : pending.offers;
    if (pending.offers == 0) {
        m_routing.retries.recordFirstTry(pending.request.service);
    } else if (triesBefore > 0 && !m_routing.retries.take(pending.request.service, pending.mayHaveRun)) {
        finishWithout(token, RequestOutcome::NotRun, ErrorCode::RetryBudgetExhausted, pending.lastDetail);
        return;
    } else if (triesBefore > 0) {
        ++m_counts.retries;
    }
    send(token, pending, valueOf(placement), isIsolated);
}

Result<Placement> RequestCoordinator::tryPlace(const Pending &pending, const std::vector<std::string> &excluded)
{
    const std::shared_ptr<const Route> &route = pending.request.route;
    return m_selector.tryPlace(route, {route->selector->rules.targetLatency, m_answerSizes.meanOf(route->selector->name), excluded});
}

Result<Placement> RequestCoordinator::trialPlacement(Pending &pending, const std::vector<std::string> &excluded)
{
    // Every proxy chooses the same upstream, so that trials of one request on several proxies cost one upstream.
    const std::uint64_t fingerprint = fingerprintOf(pending);
    std::shared_ptr<const Endpoint> chosen;
    std::uint64_t highest = 0;
    for (const std::shared_ptr<const Endpoint> &endpoint : pending.request.route->endpoints) {
        const std::uint64_t score = stableHash(endpoint->upstreamId, fingerprint);
        const bool isExcluded = endpoint->isDraining || std::find(excluded.begin(), excluded.end(), endpoint->upstreamId) != excluded.end();
        if (!isExcluded && (chosen == nullptr || score > highest)) {
            chosen = endpoint;
            highest = score;
        }
    }
    if (chosen == nullptr) {
        return Error {ErrorCode::NoUpstream, pending.request.service};
    }
    return Placement {chosen, std::nullopt};
}

Duration RequestCoordinator::targetLeft(const Pending &pending) const
{
    return pending.targetAt ? std::max(*pending.targetAt - m_clock.now(), Duration(0)) : Duration(0);
}

std::vector<std::string> RequestCoordinator::excludedUpstreamIds(const Pending &pending) const
{
    std::vector<std::string> excluded = pending.triedUpstreamIds;
    if (!pending.targetAt || m_routing.declines.isEmpty()) {
        return excluded;
    }
    const Route &route = *pending.request.route;
    const Duration left = targetLeft(pending);
    for (const std::shared_ptr<const Endpoint> &endpoint : route.endpoints) {
        if (m_routing.declines.isHeldOff(endpoint->upstreamId, route.selector->name, left)) {
            excluded.push_back(endpoint->upstreamId);
        }
    }
    return excluded;
}

bool RequestCoordinator::passSuspicion(CallerToken token, Pending &pending, bool &isIsolated)
{
    if (m_routing.suspects.isEmpty()) {
        return true;
    }
    const std::uint64_t fingerprint = fingerprintOf(pending);
    if (m_routing.suspects.isHeldOff(fingerprint)) {
        finishWithout(token, RequestOutcome::NotRun, ErrorCode::RequestHeldOff, "requests like this one crashed upstreams");
        return false;
    }
    isIsolated = m_routing.suspects.mustRunAlone(fingerprint);
    // One run decides about all requests like it, so the others wait for its result instead of risking more upstreams.
    if (isIsolated && m_trials.contains(fingerprint)) {
        m_waiting[fingerprint].push_back(token);
        return false;
    }
    return true;
}

RequestFrame RequestCoordinator::requestFrame(const Pending &pending, const Placement &placement) const
{
    const CallerRequest &request = pending.request;
    const std::shared_ptr<const Endpoint> &endpoint = placement.endpoint;
    RequestFrame frame;
    frame.requestId = m_nextRequestId;
    frame.service = request.service;
    frame.upstreamId = endpoint->upstreamId;
    frame.caller = request.caller;
    frame.method = request.method;
    frame.path = request.path;
    frame.headers = request.headers;
    setPriority(frame.headers, priorityOf(request));
    frame.key = request.key;
    frame.isRepeatable = pending.isRepeatable;
    const Duration left = pending.deadline - m_clock.now();
    const Duration margin = std::min(m_settings.answerMargin, left / 10);
    frame.timeLeftMs =
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(left - margin).count()));
    frame.body = request.body;
    frame.traceId = request.traceId;
    frame.workspace = request.workspace != nullptr ? request.workspace->name : std::string();
    if (request.authorizedUntilMs > 0) {
        const std::uint64_t now = m_clock.uninterruptedMilliseconds();
        // What has ended already is refused beside the upstream.
        frame.authorizedForMs = static_cast<std::uint32_t>(std::max(request.authorizedUntilMs, now + 1) - now);
    }
    frame.sentAtMs = m_clock.uninterruptedMilliseconds();
    frame.selector = request.route->selector->name;
    if (pending.targetAt) {
        // A request that is late already still counts as one with a target.
        const auto targetLeft = std::chrono::duration_cast<std::chrono::milliseconds>(*pending.targetAt - m_clock.now());
        frame.targetLeftMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, targetLeft.count()));
    }
    if (placement.maximumWait && pending.offers < m_settings.boundedOffers) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*placement.maximumWait);
        frame.maximumWaitMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, wait.count()));
    }
    return frame;
}

void RequestCoordinator::send(CallerToken token, Pending &pending, const Placement &placement, bool isIsolated)
{
    const std::shared_ptr<const Endpoint> &endpoint = placement.endpoint;
    RequestFrame frame = requestFrame(pending, placement);
    frame.isIsolated = isIsolated;
    ++m_nextRequestId;
    ++pending.offers;
    pending.wasIsolated = isIsolated;
    if (isIsolated) {
        m_trials[fingerprintOf(pending)] = token;
    }
    ++m_counts.tries;
    m_routing.load.recordStart(endpoint->upstreamId);
    m_tries.emplace(frame.requestId, token);
    m_triesByProxy[endpoint->proxyId].insert(frame.requestId);
    if (!hasTarget(rulesOf(pending.request))) {
        pending.triedUpstreamIds.push_back(endpoint->upstreamId);
    }
    pending.lastUpstreamId = endpoint->upstreamId;
    pending.current =
        Try {frame.requestId, endpoint, isIsolated, AnswerAssembly(m_settings.maximumAnswerBytes), std::nullopt, targetLeft(pending)};
    m_outputs.emplace_back(SendRequest {endpoint->proxyId, endpoint->proxyAddress, std::move(frame)});
}

void RequestCoordinator::endAnswered(CallerToken token, Pending &pending)
{
    AnswerFrame answer = pending.current->assembly.take();
    recordEvidence(pending, answer);
    if (answer.code == ErrorCode::UpstreamCrashed && answer.outcome == RequestOutcome::Unknown) {
        m_routing.suspects.recordCrash(answer.crashId, {fingerprintOf(pending)}, pending.current->isIsolated);
    }
    const bool isIsolated = pending.current->isIsolated;
    endTry(token, pending);
    if (answer.outcome != RequestOutcome::Answered) {
        retryOrFinish(token, pending, answer.outcome, answer.code, std::move(answer.detail));
        return;
    }
    if (!m_routing.suspects.isEmpty() && !isServerError(answer.status)) {
        m_routing.suspects.recordCompletion(fingerprintOf(pending), isIsolated);
    }
    noteEndOfOffer(pending, answer.outcome, answer.code);
    const bool hasFailed = isServerError(answer.status);
    if (hasFailed && pending.isRepeatable && mayTryElsewhere(pending)) {
        pending.failedAnswer = std::move(answer);
        pending.mayHaveRun = true;
        dispatch(token);
        return;
    }
    if (!hasFailed) {
        m_answerSizes.record(pending.request.route->selector->name, answer.body.size());
    }
    finishAnswered(token, std::move(answer));
}

bool RequestCoordinator::mayTryElsewhere(const Pending &pending) const
{
    const RouteRules &rules = rulesOf(pending.request);
    // What is left of the time has to be enough for another run.
    const bool hasTime = m_clock.now() + rules.targetLatency / 2 < pending.deadline;
    return hasTarget(rules) && hasTime && pending.arrivals <= rules.maximumRetries && pending.offers < m_settings.maximumOffers;
}

void RequestCoordinator::finishAnswered(CallerToken token, AnswerFrame answer)
{
    CallerAnswer result;
    result.outcome = RequestOutcome::Answered;
    result.status = answer.status;
    result.headers = std::move(answer.headers);
    result.body = std::move(answer.body);
    finish(token, std::move(result));
}

void RequestCoordinator::endTry(CallerToken token, Pending &pending)
{
    const Try &current = *pending.current;
    m_bufferedBytes -= current.assembly.bytes();
    m_routing.load.recordEnd(current.endpoint->upstreamId);
    m_tries.erase(current.requestId);
    const auto onProxy = m_triesByProxy.find(current.endpoint->proxyId);
    onProxy->second.erase(current.requestId);
    if (onProxy->second.empty()) {
        m_triesByProxy.erase(onProxy);
    }
    if (current.isIsolated) {
        const auto trial = m_trials.find(fingerprintOf(pending));
        if (trial != m_trials.end() && trial->second == token) {
            m_endedTrials.push_back(trial->first);
            m_trials.erase(trial);
        }
    }
    pending.current.reset();
}

void RequestCoordinator::noteEndOfOffer(Pending &pending, RequestOutcome outcome, ErrorCode code)
{
    pending.arrivals += outcome != RequestOutcome::NotRun || code == ErrorCode::UpstreamRefused ? 1 : 0;
    // An upstream that declined because it is busier than others may still turn out to be the best choice.
    if (hasTarget(rulesOf(pending.request)) && code != ErrorCode::PlacementDeclined) {
        pending.triedUpstreamIds.push_back(pending.lastUpstreamId);
    }
}

void RequestCoordinator::retryOrFinish(CallerToken token, Pending &pending, RequestOutcome outcome, ErrorCode code, std::string detail)
{
    noteEndOfOffer(pending, outcome, code);
    pending.mayHaveRun = pending.mayHaveRun || outcome == RequestOutcome::Unknown;
    pending.lastCode = code;
    pending.lastDetail = std::move(detail);
    if (mayRetry(pending, outcome, code)) {
        dispatch(token);
        return;
    }
    finishWithout(token, outcome, code, pending.lastDetail);
}

bool RequestCoordinator::mayRetry(const Pending &pending, RequestOutcome outcome, ErrorCode code) const
{
    const bool isTrialRefused = pending.wasIsolated && outcome == RequestOutcome::NotRun
        && std::find(UpstreamIsGone.begin(), UpstreamIsGone.end(), code) == UpstreamIsGone.end();
    if (isTrialRefused) {
        return false;
    }
    const RouteRules &rules = rulesOf(pending.request);
    const bool isUsedUp = hasTarget(rules) ? pending.arrivals > rules.maximumRetries || pending.offers >= m_settings.maximumOffers
                                           : pending.offers > rules.maximumRetries;
    if (isUsedUp || pending.deadline <= m_clock.now()) {
        return false;
    }
    if (outcome == RequestOutcome::Unknown) {
        return pending.isRepeatable;
    }
    return std::find(NotRunElsewhere.begin(), NotRunElsewhere.end(), code) != NotRunElsewhere.end();
}

void RequestCoordinator::finishWithout(CallerToken token, RequestOutcome outcome, ErrorCode code, std::string detail)
{
    Pending &pending = m_pending.at(token);
    if (pending.failedAnswer && code != ErrorCode::Cancelled) {
        finishAnswered(token, std::move(*pending.failedAnswer));
        return;
    }
    CallerAnswer answer;
    answer.outcome = outcome;
    answer.code = code;
    if (outcome == RequestOutcome::NotRun && !pending.mayHaveRun) {
        answer.retryAfter =
            code == ErrorCode::RequestHeldOff ? m_routing.suspects.holdOffLeft(fingerprintOf(pending)) : retryAfter(pending);
    }
    // An earlier try may have run, whatever became of the last one.
    if (pending.mayHaveRun && outcome == RequestOutcome::NotRun) {
        answer.outcome = RequestOutcome::Unknown;
        answer.code = code == ErrorCode::DeadlineExceeded ? code : ErrorCode::OutcomeUnknown;
    }
    answer.status = errorCodeInfo(answer.code).httpStatus;
    answer.detail = std::move(detail);
    finish(token, std::move(answer));
}

Duration RequestCoordinator::retryAfter(const Pending &pending)
{
    // Callers that were turned away together must not return together.
    const Duration wait =
        std::clamp(m_selector.shortestWait(*pending.request.route), m_settings.shortestRetryAfter, m_settings.longestRetryAfter);
    return wait / 2 + m_selector.jitter(wait);
}

void RequestCoordinator::finish(CallerToken token, CallerAnswer answer)
{
    const auto found = m_pending.find(token);
    const Pending &pending = found->second;
    answer.token = token;
    answer.tries = pending.offers;
    answer.upstreamId = pending.lastUpstreamId;
    m_counts.answered += answer.outcome == RequestOutcome::Answered ? 1 : 0;
    m_counts.notRun += answer.outcome == RequestOutcome::NotRun ? 1 : 0;
    m_counts.unknown += answer.outcome == RequestOutcome::Unknown ? 1 : 0;
    m_bufferedBytes -= memoryOf(pending.request);
    m_deadlines.erase({pending.deadline, token});
    m_pending.erase(found);
    m_outputs.emplace_back(std::move(answer));
}

void RequestCoordinator::refuse(const CallerRequest &request, const Error &error)
{
    ++m_counts.notRun;
    CallerAnswer answer;
    answer.token = request.token;
    answer.outcome = RequestOutcome::NotRun;
    answer.code = error.code;
    answer.status = errorCodeInfo(error.code).httpStatus;
    answer.detail = error.detail;
    m_outputs.emplace_back(std::move(answer));
}

void RequestCoordinator::recordEvidence(const Pending &pending, const AnswerFrame &answer)
{
    const Endpoint &endpoint = *pending.current->endpoint;
    if (answer.load.slots > 0) {
        m_routing.recordReport(endpoint.upstreamId, answer.load);
    }
    if (answer.code == ErrorCode::UpstreamBusy && pending.targetAt) {
        const std::string &selector = pending.request.route->selector->name;
        m_routing.declines.recordDecline(endpoint.upstreamId, selector, pending.current->targetLeft, answer.load);
    }
    if (answer.outcome == RequestOutcome::Answered) {
        if (!isServerError(answer.status)) {
            m_routing.ejections.recordSuccess(endpoint);
        } else if (answer.status != ShedStatus) {
            m_routing.ejections.recordFailure(endpoint);
        }
        return;
    }
    if (answer.code == ErrorCode::UpstreamCrashed) {
        m_routing.ejections.recordConnectionLoss(endpoint);
    } else if (answer.code == ErrorCode::Draining || answer.code == ErrorCode::NoUpstream) {
        m_routing.ejections.recordLeaving(endpoint);
    } else if (answer.outcome == RequestOutcome::Unknown && answer.code != ErrorCode::Cancelled) {
        m_routing.ejections.recordFailure(endpoint);
    }
}

std::uint64_t RequestCoordinator::fingerprintOf(Pending &pending)
{
    if (!pending.fingerprint) {
        const CallerRequest &request = pending.request;
        pending.fingerprint = requestFingerprint(request.caller, request.method, request.path, request.body);
    }
    return *pending.fingerprint;
}

void RequestCoordinator::wakeWaiting()
{
    while (!m_endedTrials.empty()) {
        const std::uint64_t fingerprint = m_endedTrials.back();
        m_endedTrials.pop_back();
        auto waiting = m_waiting.find(fingerprint);
        while (waiting != m_waiting.end() && !m_trials.contains(fingerprint)) {
            const CallerToken token = waiting->second.front();
            waiting->second.pop_front();
            if (waiting->second.empty()) {
                m_waiting.erase(waiting);
            }
            // A waiting request may have met its deadline or lost its caller.
            if (m_pending.contains(token)) {
                dispatch(token);
            }
            waiting = m_waiting.find(fingerprint);
        }
    }
}

void RequestCoordinator::noteConnection(std::uint64_t requestId, std::uint64_t connectionId)
{
    const auto found = m_tries.find(requestId);
    if (found != m_tries.end()) {
        m_pending.at(found->second).current->connectionId = connectionId;
    }
}

void RequestCoordinator::forgetConnection(const std::string &proxyId, std::optional<std::uint64_t> connectionId)
{
    const auto known = m_connections.find(proxyId);
    if (known != m_connections.end() && (!connectionId || known->second.first == *connectionId)) {
        m_connections.erase(known);
    }
}

std::vector<std::uint64_t> RequestCoordinator::triesOn(const std::string &proxyId, std::optional<std::uint64_t> connectionId) const
{
    const auto onProxy = m_triesByProxy.find(proxyId);
    if (onProxy == m_triesByProxy.end()) {
        return {};
    }
    std::vector<std::uint64_t> tries(onProxy->second.begin(), onProxy->second.end());
    std::erase_if(tries, [&](std::uint64_t requestId) {
        const std::optional<std::uint64_t> &sentOn = m_pending.at(m_tries.at(requestId)).current->connectionId;
        return connectionId && sentOn && *sentOn != *connectionId;
    });
    return tries;
}

std::vector<CoordinatorOutput> RequestCoordinator::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

} // namespace Fuchsiastep

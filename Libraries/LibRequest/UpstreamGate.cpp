#include <LibRequest/UpstreamGate.h>

#include <LibCore/Digest.h>
#include <LibRequest/AnswerStatus.h>
#include <LibRequest/ClaimRecord.h>
#include <LibRequest/PriorityHeader.h>
#include <LibRouting/RequestFingerprint.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

static constexpr const char *HeldOffDetail = "requests like this one crashed upstreams";

static std::uint64_t fingerprintOf(const RequestFrame &frame)
{
    return requestFingerprint(frame.caller, frame.method, frame.path, frame.body);
}

UpstreamGate::UpstreamGate(const Settings &settings, CrashSuspects &suspects, const Clock &clock)
    : m_settings(settings), m_suspects(suspects), m_clock(clock), m_serviceTimes(settings.serviceTimes), m_transfers(settings.partBytes)
{ }

std::vector<GateOutput> UpstreamGate::handle(GateInput input)
{
    std::visit([this](auto &message) { apply(message); }, input);
    return finishStep();
}

std::vector<GateOutput> UpstreamGate::advance()
{
    while (!m_wakes.empty() && m_wakes.begin()->first <= m_clock.now()) {
        expire(m_wakes.begin()->second);
    }
    return finishStep();
}

std::optional<TimePoint> UpstreamGate::nextDeadline() const
{
    return m_wakes.empty() ? std::nullopt : std::optional(m_wakes.begin()->first);
}

LoadReport UpstreamGate::load() const
{
    constexpr double PermilleOfAll = 1000;
    LoadReport report {capacity(), m_running, static_cast<std::uint32_t>(waiting()), m_reportedPermille};
    report.serviceMs = static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(m_serviceTimes.mean()).count());
    report.failurePermille = static_cast<std::uint32_t>(m_serviceTimes.failureShare() * PermilleOfAll);
    report.transferMs = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_transfers.wait()).count());
    return report;
}

const RequestCounts &UpstreamGate::counts() const
{
    return m_counts;
}

std::size_t UpstreamGate::inFlight() const
{
    return m_unsettled;
}

std::uint32_t UpstreamGate::running() const
{
    return m_running;
}

std::size_t UpstreamGate::waiting() const
{
    return m_claiming + m_isolatedQueue.size() + m_queue.size();
}

bool UpstreamGate::isDraining() const
{
    return m_isDraining;
}

void UpstreamGate::apply(const UpstreamAnnounced &announced)
{
    if (m_upstream && m_upstream->upstreamId != announced.upstreamId) {
        releaseWaiting(ErrorCode::NoUpstream, m_upstream->upstreamId + " was replaced");
    }
    m_upstream = announced;
}

void UpstreamGate::apply(const UpstreamLost & /*lost*/)
{
    m_upstream.reset();
    releaseWaiting(ErrorCode::NoUpstream, "the upstream stopped announcing itself");
}

void UpstreamGate::apply(const UpstreamLoadReported &reported)
{
    m_reportedPermille = reported.permille;
}

void UpstreamGate::apply(const TransferBacklog &backlog)
{
    m_transfers.setBacklog(backlog);
}

void UpstreamGate::apply(const PeerRequest &request)
{
    const RequestKey key(request.connectionId, request.frame.requestId);
    if (m_byRequest.contains(key) || m_finished.contains(key)) {
        ++m_counts.duplicates;
        return;
    }
    ++m_counts.received;
    ++m_unsettled;
    const LocalId localId = m_nextLocalId++;
    Entry &entry = m_entries[localId];
    entry.connectionId = request.connectionId;
    entry.frame = request.frame;
    entry.priority = priorityOf(request.frame.headers);
    entry.arrivedAt = m_clock.now();
    const TimePoint sentAt = m_clock.now() - request.transitDelay;
    entry.deadline = sentAt + std::chrono::milliseconds(request.frame.timeLeftMs);
    if (request.frame.authorizedForMs > 0) {
        entry.authorizedUntil = sentAt + std::chrono::milliseconds(request.frame.authorizedForMs);
    }
    const bool hasTarget = request.frame.targetLeftMs > 0;
    entry.dueAt = hasTarget ? std::min(entry.deadline, sentAt + std::chrono::milliseconds(request.frame.targetLeftMs)) : entry.deadline;
    entry.service = m_serviceTimes.meanOf(request.frame.selector);
    entry.isIsolated = request.frame.isIsolated;
    entry.answerBytes = request.isLocal ? 0 : m_transfers.expectedBytes(request.frame.selector);
    m_byRequest.emplace(key, localId);
    if (const std::optional<Error> error = refusal(entry)) {
        entry.answerBytes = 0;
        dropNotRun(localId, error->code, error->detail);
        return;
    }
    m_transfers.promise(entry.answerBytes);
    if (request.frame.isRepeatable || request.frame.key.empty()) {
        enqueue(localId, entry);
        return;
    }
    entry.hasClaim = true;
    entry.stage = Stage::Claiming;
    ++m_claiming;
    const RequestFrame &frame = entry.frame;
    m_outputs.emplace_back(
        ClaimWanted {localId, frame.service, frame.key, claimDigest(frame.service, frame.method, frame.path, frame.body), entry.deadline});
}

void UpstreamGate::apply(const PeerCancel &cancelled)
{
    const auto found = m_byRequest.find({cancelled.connectionId, cancelled.requestId});
    if (found != m_byRequest.end()) {
        cancel(found->second);
    }
}

void UpstreamGate::apply(const PeerDisconnected &disconnected)
{
    std::vector<LocalId> localIds;
    for (auto entry = m_byRequest.lower_bound({disconnected.connectionId, 0});
         entry != m_byRequest.end() && entry->first.first == disconnected.connectionId;
         ++entry) {
        localIds.push_back(entry->second);
    }
    for (const LocalId localId : localIds) {
        cancel(localId);
    }
}

void UpstreamGate::apply(UpstreamAnswer &upstreamAnswer)
{
    const auto found = m_entries.find(upstreamAnswer.localId);
    if (found == m_entries.end() || found->second.stage != Stage::Running) {
        ++m_counts.lateAnswers;
        return;
    }
    Entry &entry = found->second;
    if (upstreamAnswer.isRefusedBeforeRun && entry.doRefusalsMeanNotRun) {
        if (entry.hasClaim) {
            m_outputs.emplace_back(ClaimAbandoned {upstreamAnswer.localId});
        }
        m_serviceTimes.recordFailure(entry.frame.selector, Duration(0));
        answerWithout(entry, RequestOutcome::NotRun, ErrorCode::UpstreamRefused, {});
        finishRun(upstreamAnswer.localId);
        return;
    }
    const Duration elapsed = m_clock.now() - entry.startedAt;
    if (isServerError(upstreamAnswer.status)) {
        m_serviceTimes.recordFailure(entry.frame.selector, elapsed);
    } else {
        m_serviceTimes.recordSuccess(entry.frame.selector, elapsed);
        m_transfers.recordAnswer(entry.frame.selector, upstreamAnswer.body.size());
    }
    if (!isServerError(upstreamAnswer.status)) {
        m_suspects.recordCompletion(entry.fingerprint, m_isolatedRun == upstreamAnswer.localId);
    }
    if (entry.hasClaim) {
        m_outputs.emplace_back(ClaimFinished {upstreamAnswer.localId,
            RequestOutcome::Answered,
            ErrorCode::None,
            upstreamAnswer.status,
            upstreamAnswer.headers,
            upstreamAnswer.body});
    }
    AnswerFrame frame;
    frame.outcome = RequestOutcome::Answered;
    frame.status = upstreamAnswer.status;
    frame.headers = std::move(upstreamAnswer.headers);
    frame.body = std::move(upstreamAnswer.body);
    answer(entry, std::move(frame));
    finishRun(upstreamAnswer.localId);
}

void UpstreamGate::apply(const UpstreamFailed &failed)
{
    const auto found = m_entries.find(failed.localId);
    if (found == m_entries.end() || found->second.stage != Stage::Running) {
        ++m_counts.lateAnswers;
        return;
    }
    Entry &entry = found->second;
    if (!failed.isAnyByteSent) {
        if (entry.hasClaim) {
            m_outputs.emplace_back(ClaimAbandoned {failed.localId});
        }
        answerWithout(entry, RequestOutcome::NotRun, ErrorCode::NoUpstream, "no connection to the upstream");
        finishRun(failed.localId);
        return;
    }
    const bool isGivenUpByCaller = entry.isAborted && m_clock.now() < entry.deadline;
    if (!isGivenUpByCaller) {
        m_serviceTimes.recordFailure(entry.frame.selector, m_clock.now() - entry.startedAt);
    }
    if (!entry.isAborted) {
        m_recentFailures.push_back({m_clock.now(), entry.fingerprint, m_isolatedRun == failed.localId});
    }
    if (entry.hasClaim) {
        m_outputs.emplace_back(ClaimFinished {failed.localId, RequestOutcome::Unknown, ErrorCode::OutcomeUnknown, 0, {}, {}});
    }
    if (failed.reason == ErrorCode::AnswerTooLarge) {
        answerWithout(entry, RequestOutcome::Unknown, ErrorCode::AnswerTooLarge, "the upstream wrote more than its proxy can hold");
    } else {
        answerWithout(entry, RequestOutcome::Unknown, ErrorCode::OutcomeUnknown, "the upstream gave no answer");
    }
    finishRun(failed.localId);
}

void UpstreamGate::apply(const UpstreamCrashed & /*crashed*/)
{
    std::vector<LocalId> runs;
    for (const auto &[localId, entry] : m_entries) {
        if (entry.stage == Stage::Running) {
            runs.push_back(localId);
        }
    }
    std::sort(runs.begin(), runs.end());
    if (!m_upstream && runs.empty() && m_recentFailures.empty()) {
        // Reported before; the upstream has only announced its next start.
        return;
    }
    const CrashReport report = crashReport(runs);
    for (const LocalId localId : runs) {
        Entry &entry = m_entries.at(localId);
        if (entry.hasClaim) {
            m_outputs.emplace_back(ClaimFinished {localId, RequestOutcome::Unknown, ErrorCode::UpstreamCrashed, 0, {}, {}});
        }
        AnswerFrame frame;
        frame.outcome = RequestOutcome::Unknown;
        frame.code = ErrorCode::UpstreamCrashed;
        frame.detail = report.upstreamId;
        frame.crashId = report.crashId;
        answer(entry, std::move(frame));
        finishRun(localId);
    }
    m_recentFailures.clear();
    m_upstream.reset();
    m_suspects.recordCrash(report.crashId, report.fingerprints, report.wasAlone);
    releaseHeldOff();
    releaseWaiting(ErrorCode::NoUpstream, "the upstream crashed");
    m_outputs.emplace_back(report);
}

CrashReport UpstreamGate::crashReport(const std::vector<LocalId> &runs) const
{
    CrashReport report;
    if (m_upstream) {
        report.upstreamId = m_upstream->upstreamId;
        report.service = m_upstream->service;
    }
    report.crashId = stableHash(report.upstreamId, static_cast<std::uint64_t>(m_clock.unixMilliseconds()));
    for (const LocalId localId : runs) {
        report.fingerprints.push_back(m_entries.at(localId).fingerprint);
    }
    report.wasAlone = m_isolatedRun.has_value();
    for (const Failure &failure : m_recentFailures) {
        if (failure.at + m_settings.crashWindow < m_clock.now()) {
            continue;
        }
        if (failure.wasIsolated) {
            report.fingerprints = {failure.fingerprint};
            report.wasAlone = true;
        } else if (!report.wasAlone) {
            // What failed before a run in isolation began is not the cause.
            report.fingerprints.push_back(failure.fingerprint);
        }
    }
    return report;
}

void UpstreamGate::apply(const DrainRequested &drain)
{
    m_isDraining = true;
    releaseWaiting(ErrorCode::Draining, "the upstream is draining");
    for (auto &[localId, entry] : m_entries) {
        if (entry.wakeAt) {
            entry.deadline = std::min(entry.deadline, drain.endsAt);
            setWake(localId, entry, entry.deadline);
        }
    }
}

void UpstreamGate::apply(const ClaimSettled &settled)
{
    const auto found = m_entries.find(settled.localId);
    if (found == m_entries.end() || found->second.stage != Stage::Claiming) {
        return;
    }
    --m_claiming;
    settleClaimed(settled.localId, found->second, settled);
}

void UpstreamGate::apply(const FreezeNoticed & /*freeze*/)
{
    m_isFrozen = true;
}

void UpstreamGate::apply(const FreezeRecovered & /*recovered*/)
{
    m_isFrozen = false;
}

std::optional<Error> UpstreamGate::refusal(const Entry &entry)
{
    if (m_isDraining) {
        return Error {ErrorCode::Draining, {}};
    }
    if (m_isFrozen) {
        return Error {ErrorCode::NotReady, "the proxy resumes after a pause"};
    }
    if (!m_upstream || m_upstream->upstreamId != entry.frame.upstreamId || m_upstream->service != entry.frame.service) {
        return Error {ErrorCode::NoUpstream, entry.frame.upstreamId + " is not beside this proxy"};
    }
    if (m_clock.now() >= entry.deadline) {
        return Error {ErrorCode::DeadlineExceeded, "the request was held up on its way"};
    }
    if (!m_suspects.isEmpty()) {
        const std::uint64_t fingerprint = fingerprintOf(entry.frame);
        if (m_suspects.isHeldOff(fingerprint)) {
            return Error {ErrorCode::RequestHeldOff, HeldOffDetail};
        }
    }
    if (entry.isIsolated && m_isolatedQueue.size() >= m_settings.maximumIsolated) {
        return Error {ErrorCode::UpstreamBusy, "isolated requests wait already"};
    }
    // A run whose answer cannot leave in time only takes a slot and a place on the link.
    if (entry.answerBytes > 0 && m_clock.now() + m_transfers.timeToLeave(entry.service, entry.answerBytes) > entry.dueAt) {
        return Error {ErrorCode::UpstreamBusy, "large answers wait to leave the instance"};
    }
    const bool canStartNow = m_running < capacity() && waiting() == 0;
    if (canStartNow) {
        return std::nullopt;
    }
    return refusalToQueue(entry);
}

std::optional<Error> UpstreamGate::refusalToQueue(const Entry &entry)
{
    const Duration wait = expectedWait(entry);
    const Duration offered = std::chrono::milliseconds(entry.frame.maximumWaitMs);
    if (offered.count() > 0 && wait > offered) {
        return Error {ErrorCode::PlacementDeclined, "the expected wait is longer than elsewhere"};
    }
    // A request that would be dropped from the queue later only takes the place of one that would run.
    if (wait > m_settings.maximumQueueTime || m_clock.now() + wait + reservedTime(entry) > entry.dueAt) {
        return Error {ErrorCode::UpstreamBusy, "the expected wait is too long"};
    }
    if (!makePlaceFor(entry)) {
        return Error {ErrorCode::UpstreamBusy, "the queue is full"};
    }
    return std::nullopt;
}

Duration UpstreamGate::reservedTime(const Entry &entry) const
{
    // A slow run should end in time as well. Where runs differ much, half of the time is enough, or a kind of request with
    // a tight target would never find a place in the queue.
    const Duration half = (entry.dueAt - m_clock.now()) / 2;
    return std::min(m_serviceTimes.likelyOf(entry.frame.selector), std::max(entry.service, half));
}

bool UpstreamGate::makePlaceFor(const Entry &entry)
{
    if (waiting() < static_cast<std::size_t>(m_settings.queuePlacesPerSlot) * capacity()) {
        return true;
    }
    const std::optional<LocalId> excess = m_queue.excessFor(entry.priority, entry.frame.workspace);
    if (excess) {
        dropNotRun(*excess, ErrorCode::UpstreamBusy, "shed for a request of higher priority or of another workspace");
    }
    return excess.has_value();
}

std::uint32_t UpstreamGate::capacity() const
{
    return m_upstream ? std::min(m_upstream->slots, m_upstream->connections) : 0;
}

Duration UpstreamGate::expectedWait(const Entry &entry) const
{
    // One more than those ahead has to end before a slot is free for this one.
    const auto ahead = static_cast<std::int64_t>(m_claiming + m_isolatedQueue.size() + 1);
    const Duration work = m_serviceTimes.mean() * ahead + m_queue.workAhead(queueEntry(0, entry));
    return work / std::max(1U, capacity());
}

AdmissionQueue::Entry UpstreamGate::queueEntry(LocalId localId, const Entry &entry)
{
    return {localId, entry.priority, entry.dueAt, entry.service, entry.frame.workspace};
}

void UpstreamGate::enqueue(LocalId localId, Entry &entry)
{
    entry.stage = Stage::Queued;
    const TimePoint latest = entry.dueAt - entry.service;
    setWake(localId, entry, std::min(m_clock.now() + m_settings.maximumQueueTime, latest));
    if (!m_suspects.isEmpty()) {
        entry.fingerprint = fingerprintOf(entry.frame);
        entry.isIsolated = entry.isIsolated || m_suspects.mustRunAlone(entry.fingerprint);
    }
    if (entry.isIsolated) {
        m_isolatedQueue.push_back(localId);
    } else {
        m_queue.push(queueEntry(localId, entry));
    }
}

void UpstreamGate::startWaiting()
{
    while (m_upstream && !m_isDraining) {
        const std::optional<LocalId> next = takeNext();
        if (!next) {
            return;
        }
        start(*next);
    }
}

std::optional<LocalId> UpstreamGate::takeNext()
{
    if (m_isolatedRun || m_running >= capacity()) {
        return std::nullopt;
    }
    const bool isOthersTurn = m_hasRunIsolated && m_runsSinceIsolated < capacity() && !m_queue.isEmpty();
    if (!m_isolatedQueue.empty() && !isOthersTurn) {
        // Nothing new starts until the upstream is empty, or the isolated request would never run.
        if (m_running > 0) {
            return std::nullopt;
        }
        const LocalId localId = m_isolatedQueue.front();
        m_isolatedQueue.pop_front();
        return localId;
    }
    return m_queue.pop();
}

void UpstreamGate::start(LocalId localId)
{
    Entry &entry = m_entries.at(localId);
    const std::uint64_t fingerprint = entry.fingerprint != 0 ? entry.fingerprint : fingerprintOf(entry.frame);
    entry.fingerprint = fingerprint;
    if (m_suspects.isHeldOff(fingerprint)) {
        dropNotRun(localId, ErrorCode::RequestHeldOff, HeldOffDetail);
        return;
    }
    if (m_clock.now() >= entry.deadline) {
        dropNotRun(localId, ErrorCode::DeadlineExceeded, "waited for a slot");
        return;
    }
    if (entry.authorizedUntil && m_clock.now() >= *entry.authorizedUntil) {
        dropNotRun(localId, ErrorCode::KeyUnconfirmed, "waited for a slot");
        return;
    }
    if (entry.isIsolated) {
        m_isolatedRun = localId;
        m_hasRunIsolated = true;
        m_runsSinceIsolated = 0;
    } else {
        ++m_runsSinceIsolated;
    }
    ++m_running;
    ++m_counts.tries;
    entry.stage = Stage::Running;
    entry.doRefusalsMeanNotRun = m_upstream && m_upstream->doRefusalsMeanNotRun;
    entry.startedAt = m_clock.now();
    setWake(localId, entry, entry.deadline);
    entry.frame.timeLeftMs = static_cast<std::uint32_t>(
        std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(entry.deadline - m_clock.now()).count()));
    m_outputs.emplace_back(StartUpstreamRequest {localId, entry.frame, m_clock.now() - entry.arrivedAt});
    entry.frame.body.clear();
}

void UpstreamGate::expire(LocalId localId)
{
    Entry &entry = m_entries.at(localId);
    if (entry.stage == Stage::Queued) {
        const bool isLate = m_clock.now() >= entry.dueAt - entry.service;
        dropNotRun(localId, isLate ? ErrorCode::DeadlineExceeded : ErrorCode::QueueTimeout, "waited for a slot");
        return;
    }
    setWake(localId, entry, std::nullopt);
    answerWithout(entry, RequestOutcome::Unknown, ErrorCode::DeadlineExceeded, "the upstream did not answer in time");
    abort(localId, entry);
}

void UpstreamGate::cancel(LocalId localId)
{
    Entry &entry = m_entries.at(localId);
    if (!entry.isSettled) {
        entry.isSettled = true;
        --m_unsettled;
        ++m_counts.cancelled;
    }
    if (entry.stage == Stage::Running) {
        setWake(localId, entry, std::nullopt);
        abort(localId, entry);
        return;
    }
    dropNotRun(localId, ErrorCode::Cancelled, {});
}

void UpstreamGate::abort(LocalId localId, Entry &entry)
{
    // Claimed work runs to its end, because only its stored outcome can tell the next request with the key.
    if (entry.hasClaim || entry.isAborted) {
        return;
    }
    entry.isAborted = true;
    m_outputs.emplace_back(AbortUpstreamRequest {localId});
}

void UpstreamGate::releaseHeldOff()
{
    // Their callers would otherwise try the next upstream before they learn of the crash.
    for (const LocalId localId : std::deque(m_isolatedQueue)) {
        if (m_suspects.isHeldOff(fingerprintOf(m_entries.at(localId).frame))) {
            dropNotRun(localId, ErrorCode::RequestHeldOff, HeldOffDetail);
        }
    }
}

void UpstreamGate::releaseWaiting(ErrorCode code, const std::string &detail)
{
    std::vector<LocalId> localIds;
    for (const auto &[localId, entry] : m_entries) {
        if (entry.stage != Stage::Running) {
            localIds.push_back(localId);
        }
    }
    std::sort(localIds.begin(), localIds.end());
    for (const LocalId localId : localIds) {
        dropNotRun(localId, code, detail);
    }
}

void UpstreamGate::settleClaimed(LocalId localId, Entry &entry, const ClaimSettled &settled)
{
    switch (settled.verdict) {
    case ClaimVerdict::Owned:
        enqueue(localId, entry);
        return;
    case ClaimVerdict::Stored: {
        AnswerFrame frame;
        frame.outcome = RequestOutcome::Answered;
        frame.status = settled.status;
        frame.headers = settled.headers;
        frame.body = settled.body;
        answer(entry, std::move(frame));
        break;
    }
    case ClaimVerdict::NotRun:
        answerWithout(entry, RequestOutcome::NotRun, settled.code, settled.detail);
        break;
    case ClaimVerdict::Unknown:
        answerWithout(entry, RequestOutcome::Unknown, settled.code, settled.detail);
        break;
    }
    erase(localId);
}

void UpstreamGate::answer(Entry &entry, AnswerFrame frame)
{
    if (entry.isSettled) {
        return;
    }
    entry.isSettled = true;
    --m_unsettled;
    m_counts.answered += frame.outcome == RequestOutcome::Answered ? 1 : 0;
    m_counts.notRun += frame.outcome == RequestOutcome::NotRun ? 1 : 0;
    m_counts.unknown += frame.outcome == RequestOutcome::Unknown ? 1 : 0;
    frame.requestId = entry.frame.requestId;
    frame.load = load();
    frame.bodyLength = frame.body.size();
    SendAnswer output;
    output.connectionId = entry.connectionId;
    output.traceId = entry.frame.traceId;
    const bool isLarge = frame.body.size() > m_settings.partBytes;
    for (std::size_t offset = 0; isLarge && offset < frame.body.size(); offset += m_settings.partBytes) {
        output.parts.push_back({entry.frame.requestId,
            offset,
            frame.body.substr(offset, m_settings.partBytes),
            offset + m_settings.partBytes >= frame.body.size()});
    }
    if (isLarge) {
        frame.body.clear();
    }
    output.frame = std::move(frame);
    m_outputs.emplace_back(std::move(output));
}

void UpstreamGate::answerWithout(Entry &entry, RequestOutcome outcome, ErrorCode code, std::string detail)
{
    AnswerFrame frame;
    frame.outcome = outcome;
    frame.code = code;
    frame.detail = std::move(detail);
    answer(entry, std::move(frame));
}

void UpstreamGate::dropNotRun(LocalId localId, ErrorCode code, std::string detail)
{
    Entry &entry = m_entries.at(localId);
    if (entry.hasClaim) {
        m_outputs.emplace_back(ClaimAbandoned {localId});
    }
    if (entry.stage == Stage::Claiming) {
        --m_claiming;
    }
    removeFromQueue(localId, entry);
    answerWithout(entry, RequestOutcome::NotRun, code, std::move(detail));
    erase(localId);
}

void UpstreamGate::finishRun(LocalId localId)
{
    --m_running;
    if (m_isolatedRun == localId) {
        m_isolatedRun.reset();
    }
    erase(localId);
}

void UpstreamGate::setWake(LocalId localId, Entry &entry, std::optional<TimePoint> at)
{
    if (entry.wakeAt) {
        m_wakes.erase({*entry.wakeAt, localId});
    }
    entry.wakeAt = at;
    if (at) {
        m_wakes.emplace(*at, localId);
    }
}

void UpstreamGate::removeFromQueue(LocalId localId, const Entry &entry)
{
    if (entry.stage != Stage::Queued) {
        return;
    }
    if (entry.isIsolated) {
        std::erase(m_isolatedQueue, localId);
    } else {
        m_queue.remove(queueEntry(localId, entry));
    }
}

void UpstreamGate::erase(LocalId localId)
{
    const auto found = m_entries.find(localId);
    setWake(localId, found->second, std::nullopt);
    m_transfers.release(found->second.answerBytes);
    const RequestKey key(found->second.connectionId, found->second.frame.requestId);
    m_byRequest.erase(key);
    m_finished.insert(key);
    m_finishedOrder.push_back(key);
    if (m_finishedOrder.size() > m_settings.rememberedRequests) {
        m_finished.erase(m_finishedOrder.front());
        m_finishedOrder.pop_front();
    }
    m_entries.erase(found);
}

std::vector<GateOutput> UpstreamGate::finishStep()
{
    while (!m_recentFailures.empty() && m_recentFailures.front().at + m_settings.crashWindow < m_clock.now()) {
        m_recentFailures.pop_front();
    }
    startWaiting();
    if (m_isDraining && !m_isDrainReported && m_entries.empty()) {
        m_isDrainReported = true;
        m_outputs.emplace_back(DrainFinished {});
    }
    return std::exchange(m_outputs, {});
}

} // namespace Fuchsiastep

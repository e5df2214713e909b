#include <LibRequest/ClaimLedger.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

/// The time before the next attempt after \a count attempts, doubled each time up to \a longest.
static Duration backoff(Duration first, Duration longest, std::uint32_t count)
{
    Duration delay = first;
    for (std::uint32_t step = 0; step < count && delay < longest; ++step) {
        delay *= 2;
    }
    return std::min(delay, longest);
}

static bool isUnavailable(const PlatformResponse &response)
{
    const auto *failure = std::get_if<PlatformFailure>(&response);
    return failure != nullptr && failure->error.code == ErrorCode::PlatformUnavailable;
}

ClaimLedger::ClaimLedger(Settings settings, const Clock &clock, Random &random)
    : m_settings(std::move(settings)), m_clock(clock), m_random(random)
{ }

std::vector<ClaimOutput> ClaimLedger::handle(const ClaimInput &input)
{
    std::visit([this](const auto &message) { apply(message); }, input);
    return takeOutputs();
}

std::vector<ClaimOutput> ClaimLedger::advance()
{
    const TimePoint now = m_clock.now();
    while (!m_callTimeouts.empty() && m_callTimeouts.begin()->first <= now) {
        apply(PlatformReply {m_callTimeouts.begin()->second, PlatformFailure {{ErrorCode::PlatformOutcomeUnknown, "no reply"}}});
    }
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const LocalId localId = m_deadlines.begin()->second;
        expire(localId, m_claims.at(localId));
    }
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        const LocalId localId = m_wakes.begin()->second;
        read(localId, m_claims.at(localId));
    }
    while (!m_writeWakes.empty() && m_writeWakes.begin()->first <= now) {
        const std::uint64_t writeId = m_writeWakes.begin()->second;
        sendWrite(writeId, m_writes.at(writeId));
    }
    if (m_groupDue && *m_groupDue <= now) {
        sendGroup();
    }
    if (m_writeGroupDue && *m_writeGroupDue <= now) {
        sendWriteGroup();
    }
    return takeOutputs();
}

std::optional<TimePoint> ClaimLedger::nextDeadline() const
{
    std::optional<TimePoint> next = m_groupDue;
    if (m_writeGroupDue && (!next || *m_writeGroupDue < *next)) {
        next = m_writeGroupDue;
    }
    const auto consider = [&next](const auto &times) {
        if (!times.empty() && (!next || times.begin()->first < *next)) {
            next = times.begin()->first;
        }
    };
    consider(m_callTimeouts);
    consider(m_deadlines);
    consider(m_wakes);
    consider(m_writeWakes);
    return next;
}

bool ClaimLedger::isIdle() const
{
    return m_claims.empty() && m_writes.empty();
}

std::size_t ClaimLedger::pendingWrites() const
{
    return m_writes.size();
}

std::uint64_t ClaimLedger::pendingWriteBytes() const
{
    return m_writeBytes;
}

void ClaimLedger::apply(const ClaimWanted &wanted)
{
    if (m_claims.contains(wanted.localId)) {
        return;
    }
    Claim &claim = m_claims[wanted.localId];
    claim.service = wanted.service;
    claim.key = wanted.key;
    claim.rowKey = "claim/" + wanted.service + "/" + wanted.key;
    claim.record.proxyId = m_settings.proxyId;
    claim.record.incarnation = m_settings.incarnation;
    claim.record.attempt = m_nextAttempt++;
    claim.record.requestDigest = wanted.requestDigest;
    claim.deadline = wanted.deadline;
    m_deadlines.emplace(claim.deadline, wanted.localId);
    if (m_owners.contains(claim.rowKey)) {
        // The same key cannot be in a transaction twice, and the first one decides about it.
        readLater(wanted.localId, claim);
        return;
    }
    joinGroup(wanted.localId, claim);
}

void ClaimLedger::apply(const ClaimFinished &finished)
{
    const auto found = m_claims.find(finished.localId);
    if (found == m_claims.end() || found->second.stage != Stage::Owned) {
        return;
    }
    const Claim &claim = found->second;
    Write write;
    write.rowKey = claim.rowKey;
    write.record = claim.record;
    write.expectedRevision = claim.ownedRevision;
    write.record.state = finished.outcome == RequestOutcome::Answered ? ClaimState::Ran : ClaimState::Unknown;
    write.record.status = finished.status;
    write.record.headers = finished.headers;
    if (finished.body.size() > m_settings.maximumRowBody) {
        write.record.isBodyInObject = true;
        write.objectName = "outcome/" + claim.service + "/" + claim.key;
        write.objectContent = finished.body;
        write.isObjectWritten = false;
    } else {
        write.record.body = finished.body;
    }
    forget(finished.localId);
    addWrite(std::move(write));
}

void ClaimLedger::apply(const ClaimAbandoned &abandoned)
{
    const auto found = m_claims.find(abandoned.localId);
    if (found == m_claims.end()) {
        return;
    }
    if (found->second.stage != Stage::Owned) {
        forget(abandoned.localId);
        return;
    }
    Write write;
    write.rowKey = found->second.rowKey;
    write.record = found->second.record;
    write.record.state = ClaimState::Released;
    write.expectedRevision = found->second.ownedRevision;
    forget(abandoned.localId);
    addWrite(std::move(write));
}

void ClaimLedger::apply(const PlatformRestored &)
{
    // Revisions of the earlier era may be those of other states of the rows now. A condition that the row must not exist
    // fails where it does, and the conflict carries its state.
    for (auto &[writeId, write] : m_writes) {
        write.expectedRevision = 0;
    }
    std::vector<Write> lost;
    for (auto &[localId, claim] : m_claims) {
        claim.expectedRevision = 0;
        if (claim.stage == Stage::Owned) {
            claim.ownedRevision = 0;
            Write write;
            write.rowKey = claim.rowKey;
            write.record = claim.record;
            lost.push_back(std::move(write));
        }
    }
    forgetOldOutcomes();
    for (const RecentWrite &recent : std::exchange(m_recentOutcomes, {})) {
        lost.push_back(recent.write);
        lost.back().expectedRevision = 0;
        lost.back().isObjectWritten = lost.back().objectName.empty();
    }
    m_recentBytes = 0;
    for (Write &write : lost) {
        addWrite(std::move(write));
    }
}

void ClaimLedger::apply(const PlatformReply &reply)
{
    const auto found = m_calls.find(reply.id);
    if (found == m_calls.end()) {
        return;
    }
    const Call call = std::move(found->second);
    m_calls.erase(found);
    m_callTimeouts.erase({call.timeoutAt, reply.id});
    dispatchReply(call, reply.response);
}

void ClaimLedger::dispatchReply(const Call &call, const PlatformResponse &response)
{
    switch (call.kind) {
    case CallKind::Insert:
        onInsertReply(call.ids, response);
        return;
    case CallKind::Read:
        onReadReply(call.ids.front(), response);
        return;
    case CallKind::FetchBody:
        onBodyReply(call.ids.front(), response);
        return;
    case CallKind::WriteObject:
        onObjectWritten(call.ids.front(), response);
        return;
    case CallKind::WriteRows:
        onRowsWritten(call.ids, response);
        return;
    }
}

void ClaimLedger::joinGroup(LocalId localId, Claim &claim)
{
    claim.stage = Stage::Grouping;
    m_owners[claim.rowKey] = localId;
    m_group.push_back(localId);
    if (m_group.size() >= m_settings.maximumGroup) {
        sendGroup();
    } else if (!m_groupDue) {
        m_groupDue = m_clock.now() + m_settings.groupTime;
    }
}

void ClaimLedger::sendGroup()
{
    m_groupDue.reset();
    Transaction transaction;
    std::vector<LocalId> localIds;
    for (const LocalId localId : std::exchange(m_group, {})) {
        const auto found = m_claims.find(localId);
        if (found == m_claims.end() || found->second.stage != Stage::Grouping) {
            continue;
        }
        Claim &claim = found->second;
        claim.stage = Stage::Inserting;
        transaction.conditions.push_back({claim.rowKey, claim.expectedRevision});
        transaction.writes.push_back({claim.rowKey, claim.record.encode()});
        localIds.push_back(localId);
    }
    if (!localIds.empty()) {
        call(CallKind::Insert, std::move(localIds), std::move(transaction));
    }
}

void ClaimLedger::onInsertReply(const std::vector<LocalId> &localIds, const PlatformResponse &response)
{
    const auto *conflict = std::get_if<Conflict>(&response);
    const auto *committed = std::get_if<Committed>(&response);
    for (const LocalId localId : localIds) {
        const auto found = m_claims.find(localId);
        if (found == m_claims.end() || found->second.stage != Stage::Inserting) {
            continue;
        }
        Claim &claim = found->second;
        if (committed != nullptr) {
            own(localId, claim, committed->revision);
            continue;
        }
        if (conflict == nullptr) {
            onInsertFailure(localId, claim, isUnavailable(response) ? ErrorCode::PlatformUnavailable : ErrorCode::PlatformOutcomeUnknown);
            continue;
        }
        const auto row = std::find_if(
            conflict->currentRows.begin(), conflict->currentRows.end(), [&](const Row &current) { return current.key == claim.rowKey; });
        if (row == conflict->currentRows.end()) {
            // Another key of the group failed it; this one has done nothing yet.
            joinGroup(localId, claim);
        } else {
            consider(localId, claim, *row);
        }
    }
}

void ClaimLedger::onInsertFailure(LocalId localId, Claim &claim, ErrorCode code)
{
    if (code == ErrorCode::PlatformUnavailable && !claim.isInsertUnresolved && !claim.hasSeenOther) {
        settle(localId, ClaimVerdict::NotRun, ErrorCode::ClaimUnavailable, "the platform is down");
        return;
    }
    claim.isInsertUnresolved = claim.isInsertUnresolved || code != ErrorCode::PlatformUnavailable;
    if (claim.reads == 0) {
        read(localId, claim);
    } else {
        readLater(localId, claim);
    }
}

void ClaimLedger::onReadReply(LocalId localId, const PlatformResponse &response)
{
    const auto found = m_claims.find(localId);
    if (found == m_claims.end() || found->second.stage != Stage::Reading) {
        return;
    }
    const auto *rows = std::get_if<Rows>(&response);
    if (rows == nullptr || rows->rows.empty()) {
        readLater(localId, found->second);
        return;
    }
    consider(localId, found->second, rows->rows.front());
}

void ClaimLedger::onBodyReply(LocalId localId, const PlatformResponse &response)
{
    const auto found = m_claims.find(localId);
    if (found == m_claims.end() || found->second.stage != Stage::FetchingBody) {
        return;
    }
    if (const auto *content = std::get_if<ObjectContent>(&response)) {
        ClaimRecord stored = found->second.stored;
        stored.body = content->content;
        settleStored(localId, stored);
        return;
    }
    // The row was read already, so the object is there unless the platform is down; the row is read again later.
    readLater(localId, found->second);
}

void ClaimLedger::consider(LocalId localId, Claim &claim, const Row &row)
{
    const auto owner = m_owners.find(claim.rowKey);
    const bool hasLocalOwner = owner != m_owners.end() && owner->second != localId;
    if (row.revision == 0) {
        // Rows are never deleted, so nobody has claimed the key yet, or this read is stale and the insert conflicts.
        if (hasLocalOwner || claim.hasSeenOther) {
            readLater(localId, claim);
            return;
        }
        claim.expectedRevision = 0;
        joinGroup(localId, claim);
        return;
    }
    const Result<ClaimRecord> decoded = ClaimRecord::tryDecode(row.value);
    if (isError(decoded)) {
        settle(localId, ClaimVerdict::Unknown, ErrorCode::OutcomeUnknown, errorOf(decoded).detail);
        return;
    }
    const ClaimRecord &record = valueOf(decoded);
    if (!record.isSameAttempt(claim.record)) {
        considerOther(localId, claim, row, record);
        return;
    }
    if (record.state == ClaimState::Claimed) {
        own(localId, claim, row.revision);
    } else {
        settle(localId, ClaimVerdict::Unknown, ErrorCode::OutcomeUnknown, "the claim was settled before its result was known");
    }
}

void ClaimLedger::considerOther(LocalId localId, Claim &claim, const Row &row, const ClaimRecord &other)
{
    if (other.state == ClaimState::Released) {
        const auto owner = m_owners.find(claim.rowKey);
        const bool hasLocalOwner = owner != m_owners.end() && owner->second != localId;
        if (claim.hasSeenOther) {
            settle(localId, ClaimVerdict::NotRun, ErrorCode::ClaimReleased, {});
        } else if (hasLocalOwner) {
            readLater(localId, claim);
        } else {
            claim.expectedRevision = row.revision;
            joinGroup(localId, claim);
        }
        return;
    }
    if (other.requestDigest != claim.record.requestDigest) {
        settle(localId, ClaimVerdict::NotRun, ErrorCode::RequestMalformed, "key: it belongs to another request");
        return;
    }
    claim.hasSeenOther = true;
    if (other.state == ClaimState::Ran) {
        if (!other.isBodyInObject) {
            settleStored(localId, other);
            return;
        }
        claim.stored = other;
        claim.stage = Stage::FetchingBody;
        call(CallKind::FetchBody, {localId}, GetObject {"outcome/" + claim.service + "/" + claim.key});
        return;
    }
    const bool isDeadAttempt = other.proxyId == m_settings.proxyId && other.incarnation != m_settings.incarnation;
    if (other.state == ClaimState::Unknown || isDeadAttempt) {
        settle(localId, ClaimVerdict::Unknown, ErrorCode::OutcomeUnknown, "an earlier request with the key may have run");
        return;
    }
    readLater(localId, claim);
}

void ClaimLedger::read(LocalId localId, Claim &claim)
{
    m_wakes.erase({claim.wakeAt, localId});
    claim.stage = Stage::Reading;
    ++claim.reads;
    call(CallKind::Read, {localId}, ReadRows {{claim.rowKey}});
}

void ClaimLedger::readLater(LocalId localId, Claim &claim)
{
    const Duration delay = backoff(m_settings.firstPoll, m_settings.longestPoll, claim.reads);
    claim.stage = Stage::Waiting;
    claim.wakeAt = m_clock.now() + delay / 2 + m_random.jitter(delay / 2);
    m_wakes.emplace(claim.wakeAt, localId);
}

void ClaimLedger::own(LocalId localId, Claim &claim, std::uint64_t revision)
{
    claim.stage = Stage::Owned;
    claim.ownedRevision = revision;
    claim.isInsertUnresolved = false;
    m_owners[claim.rowKey] = localId;
    m_deadlines.erase({claim.deadline, localId});
    m_outputs.emplace_back(ClaimSettled {localId, ClaimVerdict::Owned, ErrorCode::None, {}, 0, {}, {}});
}

void ClaimLedger::settleStored(LocalId localId, const ClaimRecord &stored)
{
    forget(localId);
    m_outputs.emplace_back(ClaimSettled {localId, ClaimVerdict::Stored, ErrorCode::None, {}, stored.status, stored.headers, stored.body});
}

void ClaimLedger::settle(LocalId localId, ClaimVerdict verdict, ErrorCode code, std::string detail)
{
    forget(localId);
    m_outputs.emplace_back(ClaimSettled {localId, verdict, code, std::move(detail), 0, {}, {}});
}

void ClaimLedger::forget(LocalId localId)
{
    const auto found = m_claims.find(localId);
    const Claim &claim = found->second;
    m_wakes.erase({claim.wakeAt, localId});
    m_deadlines.erase({claim.deadline, localId});
    std::erase(m_group, localId);
    const auto owner = m_owners.find(claim.rowKey);
    if (owner != m_owners.end() && owner->second == localId) {
        m_owners.erase(owner);
    }
    if (claim.stage == Stage::Inserting || claim.isInsertUnresolved) {
        // This attempt will not run. Writing the released row where none is keeps a delayed insert from taking
        // effect; where it took effect already, the conflict tells the revision to release.
        Write write;
        write.rowKey = claim.rowKey;
        write.record = claim.record;
        write.record.state = ClaimState::Released;
        write.expectedRevision = claim.expectedRevision;
        addWrite(std::move(write));
    }
    m_claims.erase(found);
}

void ClaimLedger::expire(LocalId localId, const Claim &claim)
{
    const bool isUntouched = claim.stage == Stage::Grouping && !claim.isInsertUnresolved && !claim.hasSeenOther;
    if (isUntouched) {
        settle(localId, ClaimVerdict::NotRun, ErrorCode::DeadlineExceeded, "waited for its claim");
        return;
    }
    settle(localId, ClaimVerdict::Unknown, ErrorCode::OutcomeUnknown, "the state of the key could not be read in time");
}

void ClaimLedger::addWrite(Write write)
{
    std::uint64_t bytes = bytesOf(write);
    if (m_writes.size() >= m_settings.maximumWrites) {
        // The row stays claimed, so that later requests with the key are told "unknown" and nothing runs twice.
        return;
    }
    if (m_writeBytes + bytes > m_settings.maximumWriteBytes) {
        write.record.state = ClaimState::Unknown;
        write.record.isBodyInObject = false;
        write.record.body.clear();
        write.objectContent.clear();
        write.isObjectWritten = true;
        bytes = 0;
    }
    m_writeBytes += bytes;
    const std::uint64_t writeId = m_nextWriteId++;
    sendWrite(writeId, m_writes.emplace(writeId, std::move(write)).first->second);
}

void ClaimLedger::sendWrite(std::uint64_t writeId, Write &write)
{
    if (write.wakeAt) {
        m_writeWakes.erase({*write.wakeAt, writeId});
        write.wakeAt.reset();
    }
    if (!write.isObjectWritten) {
        call(CallKind::WriteObject, {writeId}, PutObject {write.objectName, write.objectContent});
        return;
    }
    m_writeGroup.push_back(writeId);
    if (!m_writeGroupDue) {
        m_writeGroupDue = m_clock.now() + m_settings.groupTime;
    }
}

void ClaimLedger::sendWriteGroup()
{
    m_writeGroupDue.reset();
    Transaction transaction;
    std::vector<std::uint64_t> writeIds;
    std::set<std::string_view> rowKeys;
    std::size_t bytes = 0;
    for (const std::uint64_t writeId : std::exchange(m_writeGroup, {})) {
        const Write &write = m_writes.at(writeId);
        bytes += write.record.body.size();
        const bool isFull = writeIds.size() >= m_settings.maximumGroup || bytes > m_settings.maximumGroupBytes;
        // A transaction may name a row once; two attempts for a key can end within the same group.
        if (!writeIds.empty() && (isFull || rowKeys.contains(write.rowKey))) {
            m_writeGroup.push_back(writeId);
            m_writeGroupDue = m_clock.now();
            continue;
        }
        rowKeys.insert(write.rowKey);
        transaction.conditions.push_back({write.rowKey, write.expectedRevision});
        transaction.writes.push_back({write.rowKey, write.record.encode()});
        writeIds.push_back(writeId);
    }
    if (!writeIds.empty()) {
        call(CallKind::WriteRows, std::move(writeIds), std::move(transaction));
    }
}

void ClaimLedger::onObjectWritten(std::uint64_t writeId, const PlatformResponse &response)
{
    Write &write = m_writes.at(writeId);
    if (!std::holds_alternative<Committed>(response)) {
        retryWrite(writeId, write);
        return;
    }
    write.isObjectWritten = true;
    sendWrite(writeId, write);
}

void ClaimLedger::onRowsWritten(const std::vector<std::uint64_t> &writeIds, const PlatformResponse &response)
{
    const auto *conflict = std::get_if<Conflict>(&response);
    for (const std::uint64_t writeId : writeIds) {
        Write &write = m_writes.at(writeId);
        if (std::holds_alternative<Committed>(response)) {
            rememberOutcome(write);
            eraseWrite(writeId);
            continue;
        }
        if (conflict == nullptr || conflict->currentRows.empty()) {
            retryWrite(writeId, write);
            continue;
        }
        const auto row = std::find_if(
            conflict->currentRows.begin(), conflict->currentRows.end(), [&](const Row &current) { return current.key == write.rowKey; });
        if (row == conflict->currentRows.end()) {
            // Another row of the group failed it.
            sendWrite(writeId, write);
        } else {
            onWriteConflict(writeId, write, *row);
        }
    }
}

void ClaimLedger::onWriteConflict(std::uint64_t writeId, Write &write, const Row &row)
{
    if (row.revision == 0) {
        // Rows are never deleted, so the platform has lost this one.
        write.expectedRevision = 0;
        sendWrite(writeId, write);
        return;
    }
    const Result<ClaimRecord> current = ClaimRecord::tryDecode(row.value);
    const bool isOwnClaim =
        !isError(current) && valueOf(current).isSameAttempt(write.record) && valueOf(current).state == ClaimState::Claimed;
    if (!isOwnClaim) {
        // Written already by a call whose answer was lost, or the row is another attempt's and not to be touched.
        eraseWrite(writeId);
        return;
    }
    write.expectedRevision = row.revision;
    sendWrite(writeId, write);
}

void ClaimLedger::retryWrite(std::uint64_t writeId, Write &write)
{
    const Duration delay = backoff(m_settings.firstWriteRetry, m_settings.longestWriteRetry, write.failures++);
    write.wakeAt = m_clock.now() + delay / 2 + m_random.jitter(delay / 2);
    m_writeWakes.emplace(*write.wakeAt, writeId);
}

void ClaimLedger::eraseWrite(std::uint64_t writeId)
{
    const auto found = m_writes.find(writeId);
    m_writeBytes -= bytesOf(found->second);
    m_writes.erase(found);
}

std::uint64_t ClaimLedger::bytesOf(const Write &write)
{
    return write.record.body.size() + write.objectContent.size();
}

void ClaimLedger::rememberOutcome(const Write &write)
{
    const bool isOutcome = write.record.state == ClaimState::Ran || write.record.state == ClaimState::Unknown;
    if (!isOutcome || bytesOf(write) > m_settings.maximumRecentBytes) {
        return;
    }
    m_recentOutcomes.push_back({m_clock.now() + m_settings.recentTime, write});
    m_recentBytes += bytesOf(write);
    forgetOldOutcomes();
}

void ClaimLedger::forgetOldOutcomes()
{
    const auto isOld = [this](const RecentWrite &recent) {
        return recent.until <= m_clock.now() || m_recentBytes > m_settings.maximumRecentBytes
            || m_recentOutcomes.size() > m_settings.maximumWrites;
    };
    while (!m_recentOutcomes.empty() && isOld(m_recentOutcomes.front())) {
        m_recentBytes -= bytesOf(m_recentOutcomes.front().write);
        m_recentOutcomes.pop_front();
    }
}

void ClaimLedger::call(CallKind kind, std::vector<std::uint64_t> ids, PlatformRequest request)
{
    const CallId callId = m_nextCallId++;
    const TimePoint timeoutAt = m_clock.now() + m_settings.callTimeout;
    m_calls.emplace(callId, Call {kind, std::move(ids), timeoutAt});
    m_callTimeouts.emplace(timeoutAt, callId);
    m_outputs.emplace_back(PlatformCall {callId, std::move(request)});
}

std::vector<ClaimOutput> ClaimLedger::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

} // namespace Fuchsiastep

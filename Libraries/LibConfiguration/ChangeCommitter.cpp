#include <LibConfiguration/ChangeCommitter.h>

#include <LibConfiguration/DeclarationJson.h>
#include <LibConfiguration/OperationRow.h>
#include <LibConfiguration/OperatorChangeValidation.h>
#include <LibConfiguration/RowKeys.h>

#include <algorithm>

namespace Fuchsiastep {

/// The search for the operator who removed an object gives up after this many calls.
static constexpr std::uint64_t MaximumSearchReads = 64;

/// A read that mixes an older and a newer state; reading again gives a consistent one.
static Error staleRead(std::string text)
{
    return {ErrorCode::PlatformUnavailable, "the platform gave a stale answer: " + std::move(text)};
}

ChangeCommitter::ChangeCommitter(ChangeCommitterSettings settings, const Clock &clock, Random &random)
    : m_settings(settings), m_clock(clock), m_random(random), m_backoff(settings.backoffBase, settings.backoffCap)
{ }

ChangeCommitter::Outputs ChangeCommitter::handle(const ChangeCommitterInput &input)
{
    m_outputs.clear();
    std::visit(Overloaded {
                   [&](const SubmitChange &submit) { begin(submit); },
                   [&](const PlatformReply &reply) { onReply(reply); },
               },
        input);
    return std::move(m_outputs);
}

ChangeCommitter::Outputs ChangeCommitter::advance()
{
    m_outputs.clear();
    if (!m_deadline || m_clock.now() < *m_deadline) {
        return {};
    }
    if (m_step == Step::Waiting) {
        m_acceptedVersion ? readAccepted(*m_acceptedVersion) : readState();
    } else {
        onCallFailed({m_step == Step::Committing ? ErrorCode::PlatformOutcomeUnknown : ErrorCode::PlatformUnavailable,
            "the platform did not answer in time"});
    }
    return std::move(m_outputs);
}

std::optional<TimePoint> ChangeCommitter::nextDeadline() const
{
    return m_deadline;
}

void ChangeCommitter::begin(const SubmitChange &submit)
{
    if (m_step != Step::Idle) {
        return;
    }
    m_change = submit.change;
    m_base = submit.configuration;
    const Result<Done> valid = tryValidateChange(m_change);
    if (isError(valid)) {
        refuse(errorOf(valid));
        return;
    }
    readState();
}

void ChangeCommitter::call(PlatformRequest request, Step step)
{
    m_step = step;
    m_deadline = m_clock.now() + m_settings.callTimeout;
    m_outputs.emplace_back(PlatformCall {++m_lastCallId, std::move(request)});
}

void ChangeCommitter::onReply(const PlatformReply &reply)
{
    // A late reply to a call that timed out is dropped; what it would say is read again.
    const bool isAwaited = m_step != Step::Idle && m_step != Step::Waiting && m_step != Step::Finished;
    if (!isAwaited || reply.id != m_lastCallId) {
        return;
    }
    if (const auto *failure = std::get_if<PlatformFailure>(&reply.response)) {
        onCallFailed(failure->error);
        return;
    }
    if (m_step == Step::Committing) {
        if (const auto *conflict = std::get_if<Conflict>(&reply.response)) {
            onConflict(*conflict);
        } else if (std::holds_alternative<Committed>(reply.response)) {
            accept(m_missing.back());
        } else {
            onCallFailed({ErrorCode::PlatformOutcomeUnknown, "the platform answered a transaction with something else"});
        }
        return;
    }
    const auto *rows = std::get_if<Rows>(&reply.response);
    if (rows == nullptr) {
        onCallFailed({ErrorCode::PlatformMalformedAnswer, "the platform answered a read with something else"});
        return;
    }
    switch (m_step) {
    case Step::ReadingState:
        return onState(*rows);
    case Step::ReadingChanges:
        return onChanges(*rows);
    case Step::ReadingAccepted:
        return onAcceptedRow(*rows);
    case Step::ReadingWinner:
        return onWinnerRow(*rows);
    case Step::SearchingRemoval:
        return onRemovalRows(*rows);
    default:
        return;
    }
}

void ChangeCommitter::onCallFailed(const Error &error)
{
    if (m_step == Step::Committing) {
        // Only these two say that there certainly was no effect.
        const bool hadNoEffect = error.code == ErrorCode::PlatformUnavailable || error.code == ErrorCode::PlatformMalformedRequest;
        if (!hadNoEffect) {
            m_unknownVersion = m_head.version + 1;
        }
        m_missing.pop_back();
    }
    retry(error);
}

void ChangeCommitter::retry(const Error &error)
{
    if (m_attempts < m_settings.maximumAttempts) {
        m_step = Step::Waiting;
        m_deadline = m_clock.now() + m_backoff.next(m_random);
        return;
    }
    const bool isKnown = isSettled() && !m_change.isRepeated;
    refuse(isKnown ? error : Error {ErrorCode::ChangeOutcomeUnknown, "operation " + m_change.operationId + ": " + error.detail});
}

bool ChangeCommitter::isSettled() const
{
    return !m_unknownVersion && !m_acceptedVersion;
}

void ChangeCommitter::readState()
{
    ++m_attempts;
    m_notRemoved.clear();
    ReadRows request;
    request.keys = {std::string(HeadKey), operationKey(m_change.operationId)};
    for (const ObjectChange &change : m_change.changes) {
        request.keys.push_back(objectKey(change.name));
    }
    call(std::move(request), Step::ReadingState);
}

void ChangeCommitter::onState(const Rows &rows)
{
    constexpr std::size_t FirstObject = 2;
    if (rows.rows.size() != FirstObject + m_change.changes.size()) {
        return retry({ErrorCode::PlatformMalformedAnswer, "the platform answered with the wrong number of rows"});
    }
    const Row &operation = rows.rows[1];
    if (operation.revision != 0) {
        const Result<OperationRow> row = OperationRow::tryDecode(operation.value);
        return isError(row) ? retry(errorOf(row)) : readAccepted(valueOf(row).version);
    }
    const Row &head = rows.rows[0];
    const Result<HeadRow> decoded = head.revision != 0 ? HeadRow::tryDecode(head.value) : Result<HeadRow>(HeadRow {});
    if (isError(decoded)) {
        return retry(errorOf(decoded));
    }
    m_head = valueOf(decoded);
    m_headRevision = head.revision;
    if (tryReadObjects(rows)) {
        catchUp();
    }
}

bool ChangeCommitter::tryReadObjects(const Rows &rows)
{
    m_objectRevisions.clear();
    m_objects.clear();
    for (std::size_t i = rows.rows.size() - m_change.changes.size(); i < rows.rows.size(); ++i) {
        const Row &row = rows.rows[i];
        m_objectRevisions.push_back(row.revision);
        if (row.revision == 0) {
            m_objects.emplace_back();
            continue;
        }
        Result<ObjectRow> object = ObjectRow::tryDecode(row.value);
        if (isError(object)) {
            retry({ErrorCode::PlatformMalformedAnswer, row.key + ": " + errorOf(object).detail});
            return false;
        }
        if (valueOf(object).version > m_head.version) {
            retry(staleRead("an object is newer than the head"));
            return false;
        }
        m_objects.emplace_back(valueOf(std::move(object)));
    }
    return true;
}

/// Reads the changes between the configuration held and the head.
void ChangeCommitter::catchUp()
{
    const ConfigurationVersion reached = m_missing.empty() ? m_base->version() : m_missing.back().targetVersion;
    const Digest &digest = m_missing.empty() ? m_base->digest() : m_missing.back().targetDigest;
    if (m_head.version < reached) {
        return retry(staleRead("the head is older than version " + std::to_string(reached)));
    }
    if (m_head.version == reached) {
        if (m_head.digest != digest) {
            return refuse({ErrorCode::DigestMismatch, "version " + std::to_string(reached) + " differs from the head"});
        }
        return decide();
    }
    if (m_head.version - reached > m_settings.maximumVersionsBehind) {
        return refuse({ErrorCode::ConfigurationUnknown,
            "the proxy is " + std::to_string(m_head.version - reached) + " versions behind and cannot check the change"});
    }
    ReadRows request;
    const ConfigurationVersion last = std::min(m_head.version, reached + m_settings.rowsPerRead);
    for (ConfigurationVersion version = reached + 1; version <= last; ++version) {
        request.keys.push_back(changeKey(version));
    }
    call(std::move(request), Step::ReadingChanges);
}

void ChangeCommitter::onChanges(const Rows &rows)
{
    for (const Row &row : rows.rows) {
        const ConfigurationVersion reached = m_missing.empty() ? m_base->version() : m_missing.back().targetVersion;
        const Digest &digest = m_missing.empty() ? m_base->digest() : m_missing.back().targetDigest;
        if (row.revision == 0 || row.key != changeKey(reached + 1)) {
            return retry(staleRead("a change row is missing"));
        }
        Result<ChangeRow> change = ChangeRow::tryDecode(row.value, reached + 1);
        if (isError(change)) {
            return refuse({ErrorCode::VersionRefused, errorOf(change).detail});
        }
        if (isOwn(valueOf(change))) {
            return accept(valueOf(change).delta);
        }
        if (valueOf(change).delta.baseDigest != digest) {
            return refuse({ErrorCode::DigestMismatch, "version " + std::to_string(reached + 1) + " does not follow the one before"});
        }
        m_missing.push_back(std::move(valueOf(std::move(change)).delta));
    }
    if (rows.rows.empty()) {
        return retry({ErrorCode::PlatformMalformedAnswer, "the platform answered with no rows"});
    }
    catchUp();
}

bool ChangeCommitter::isOwn(const ChangeRow &row) const
{
    return row.audit.operationId == m_change.operationId;
}

/// The version from which on changes of the object are conflicts.
static ConfigurationVersion startOf(const ObjectChange &change)
{
    return change.expectedRevision.value_or(change.unchangedSince.value_or(0));
}

void ChangeCommitter::decide()
{
    // The unknown transaction demanded the head before this version, which is now another operation's.
    if (m_unknownVersion && m_head.version >= *m_unknownVersion) {
        m_unknownVersion.reset();
    }
    if (const auto conflict = findConflict()) {
        return resolveConflict(*conflict);
    }
    const Result<ConfigurationDelta> delta = tryBuildDelta();
    if (isError(delta)) {
        return refuse(errorOf(delta));
    }
    validateAndCommit(valueOf(delta));
}

std::optional<std::size_t> ChangeCommitter::findConflict() const
{
    for (std::size_t i = 0; i < m_change.changes.size(); ++i) {
        const auto expected = m_change.changes[i].expectedRevision;
        const ConfigurationVersion current = m_objects[i] ? m_objects[i]->version : 0;
        if (expected && *expected != current) {
            return i;
        }
        const auto since = m_change.changes[i].unchangedSince;
        // A missing row does not tell when it was removed; the changes since then do.
        const bool mayBeRemoved = since && !m_objects[i] && *since < m_head.version && !m_notRemoved.contains(i);
        if ((since && current > *since) || mayBeRemoved) {
            return i;
        }
    }
    return std::nullopt;
}

Result<ConfigurationDelta> ChangeCommitter::tryBuildDelta() const
{
    ConfigurationDelta delta;
    delta.baseVersion = m_head.version;
    delta.targetVersion = m_head.version + 1;
    delta.baseDigest = m_head.digest;
    delta.targetDigest = m_head.digest;
    for (std::size_t i = 0; i < m_change.changes.size(); ++i) {
        const ObjectChange &change = m_change.changes[i];
        if (!change.value && !m_objects[i]) {
            return Error {ErrorCode::ObjectMissing, change.name.toString()};
        }
        if (m_objects[i] && change.value && m_objects[i]->object == *change.value) {
            continue;
        }
        if (m_objects[i]) {
            delta.targetDigest -= digestOf(m_objects[i]->object);
        }
        if (change.value) {
            delta.targetDigest += digestOf(*change.value);
            delta.stored.push_back(*change.value);
        } else {
            delta.removed.push_back(change.name);
        }
    }
    if (delta.stored.empty() && delta.removed.empty()) {
        return Error {ErrorCode::ChangeEmpty, "every object already has the value asked for"};
    }
    const std::size_t bytes = delta.encode().size();
    if (bytes > m_settings.maximumDeltaBytes) {
        return Error {ErrorCode::OperatorRequestMalformed,
            "the change has " + std::to_string(bytes) + " bytes; at most " + std::to_string(m_settings.maximumDeltaBytes)
                + " are taken, so submit it in parts"};
    }
    return delta;
}

void ChangeCommitter::validateAndCommit(const ConfigurationDelta &delta)
{
    // The missing versions and this one are validated as one, so that a change can mend an invalid version.
    m_missing.push_back(delta);
    std::vector<const ConfigurationDelta *> chain;
    chain.reserve(m_missing.size());
    for (const ConfigurationDelta &step : m_missing) {
        chain.push_back(&step);
    }
    const Result<ConfigurationDelta> merged = ConfigurationDelta::tryMergeChain(chain);
    const Result<Configuration::Pointer> result =
        isError(merged) ? Result<Configuration::Pointer>(errorOf(merged)) : m_base->tryApply(valueOf(merged));
    if (!isError(result)) {
        return commit(delta);
    }
    m_missing.pop_back();
    if (errorOf(result).code == ErrorCode::DigestMismatch) {
        return retry(errorOf(result));
    }
    refuse(errorOf(result));
}

AuditEntry ChangeCommitter::buildAudit() const
{
    AuditEntry audit;
    audit.version = m_head.version + 1;
    audit.operationId = m_change.operationId;
    audit.operatorName = m_change.operatorName;
    audit.unixMilliseconds = m_clock.unixMilliseconds();
    audit.comment = m_change.comment;
    for (std::size_t i = 0; i < m_change.changes.size(); ++i) {
        const ObjectChange &change = m_change.changes[i];
        if (m_objects[i] && change.value && m_objects[i]->object == *change.value) {
            continue;
        }
        const ChangeAction storing = m_objects[i] ? ChangeAction::Replace : ChangeAction::Create;
        audit.changes.push_back(
            {change.value ? storing : ChangeAction::Remove, change.name, m_objects[i] ? m_objects[i]->version : ConfigurationVersion(0)});
    }
    return audit;
}

void ChangeCommitter::commit(const ConfigurationDelta &delta)
{
    Transaction transaction;
    transaction.conditions.push_back({std::string(HeadKey), m_headRevision});
    transaction.conditions.push_back({operationKey(m_change.operationId), 0});
    for (std::size_t i = 0; i < m_change.changes.size(); ++i) {
        transaction.conditions.push_back({objectKey(m_change.changes[i].name), m_objectRevisions[i]});
    }
    for (const DeclaredObject &object : delta.stored) {
        transaction.writes.push_back({objectKey(nameOf(object)), ObjectRow {delta.targetVersion, object}.encode()});
    }
    for (const ObjectName &name : delta.removed) {
        transaction.writes.push_back({objectKey(name), std::nullopt});
    }
    transaction.writes.push_back({changeKey(delta.targetVersion), ChangeRow {delta, buildAudit()}.encode()});
    transaction.writes.push_back({std::string(HeadKey), HeadRow {delta.targetVersion, delta.targetDigest}.encode()});
    transaction.writes.push_back({operationKey(m_change.operationId), OperationRow {delta.targetVersion}.encode()});
    call(std::move(transaction), Step::Committing);
}

void ChangeCommitter::onConflict(const Conflict &conflict)
{
    m_missing.pop_back();
    for (const Row &row : conflict.currentRows) {
        if (row.key != operationKey(m_change.operationId) || row.revision == 0) {
            continue;
        }
        const Result<OperationRow> operation = OperationRow::tryDecode(row.value);
        if (!isError(operation)) {
            return readAccepted(valueOf(operation).version);
        }
    }
    retry({ErrorCode::PlatformConflict, "other changes were committed at the same time; submit the change again"});
}

void ChangeCommitter::readAccepted(ConfigurationVersion version)
{
    // Reading the record of the operation counted as an attempt only if it is read again.
    m_attempts += m_acceptedVersion ? 1 : 0;
    m_acceptedVersion = version;
    call(ReadRows {{changeKey(version)}}, Step::ReadingAccepted);
}

void ChangeCommitter::onAcceptedRow(const Rows &rows)
{
    if (rows.rows.size() != 1 || rows.rows.front().revision == 0) {
        return retry(staleRead("the change row of an accepted operation is missing"));
    }
    const Result<ChangeRow> row = ChangeRow::tryDecode(rows.rows.front().value, *m_acceptedVersion);
    if (isError(row)) {
        return retry(errorOf(row));
    }
    accept(valueOf(row).delta);
}

void ChangeCommitter::resolveConflict(std::size_t changeIndex)
{
    m_conflict = {m_change.changes[changeIndex].name, m_objects[changeIndex], 0};
    const ConfigurationVersion expected = startOf(m_change.changes[changeIndex]);
    if (m_conflict.current && m_conflict.current->version < expected && m_attempts < m_settings.maximumAttempts) {
        return retry(staleRead("an object is older than the operator expected"));
    }
    if (m_conflict.current) {
        call(ReadRows {{changeKey(m_conflict.current->version)}}, Step::ReadingWinner);
        return;
    }
    // No row tells who removed the object, but it was after the version that the operator expected.
    m_conflict.searchedUntil = expected;
    searchRemoval();
}

bool ChangeCommitter::isConfirmedAsNotRemoved()
{
    for (std::size_t i = 0; i < m_change.changes.size(); ++i) {
        const ObjectChange &change = m_change.changes[i];
        if (change.name == m_conflict.name && !change.expectedRevision && change.unchangedSince) {
            m_notRemoved.insert(i);
            return true;
        }
    }
    return false;
}

void ChangeCommitter::onWinnerRow(const Rows &rows)
{
    const ConfigurationVersion version = m_conflict.current->version;
    if (rows.rows.size() != 1 || rows.rows.front().revision == 0) {
        return retry(staleRead("the change row of an object is missing"));
    }
    const Result<ChangeRow> row = ChangeRow::tryDecode(rows.rows.front().value, version);
    if (!isError(row) && isOwn(valueOf(row))) {
        return accept(valueOf(row).delta);
    }
    refuseConflict(isError(row) ? std::string() : valueOf(row).audit.operatorName, version);
}

void ChangeCommitter::searchRemoval()
{
    call(ScanRows {std::string(ChangeKeyPrefix), changeKey(m_conflict.searchedUntil), m_settings.rowsPerRead}, Step::SearchingRemoval);
}

void ChangeCommitter::onRemovalRows(const Rows &rows)
{
    const ConfigurationVersion first = m_conflict.searchedUntil;
    for (const Row &row : rows.rows) {
        const Result<ChangeRow> change = ChangeRow::tryDecode(row.value, ++m_conflict.searchedUntil);
        if (isError(change)) {
            continue;
        }
        const auto &removed = valueOf(change).delta.removed;
        if (std::find(removed.begin(), removed.end(), m_conflict.name) != removed.end()) {
            return isOwn(valueOf(change)) ? accept(valueOf(change).delta)
                                          : refuseConflict(valueOf(change).audit.operatorName, valueOf(change).audit.version);
        }
    }
    if (m_conflict.searchedUntil < m_head.version && m_conflict.searchedUntil == first) {
        return retry(staleRead("a change row is missing"));
    }
    if (m_conflict.searchedUntil >= m_head.version) {
        if (isConfirmedAsNotRemoved()) {
            return decide();
        }
        // Every change is known and none removes the object: the object row was stale, or the operator expected
        // what never was.
        if (first <= m_head.version) {
            return retry(staleRead("an object row is missing"));
        }
        return refuseConflict({}, 0);
    }
    const auto expected = std::find_if(
        m_change.changes.begin(), m_change.changes.end(), [&](const ObjectChange &change) { return change.name == m_conflict.name; });
    if (m_conflict.searchedUntil - startOf(*expected) >= MaximumSearchReads * m_settings.rowsPerRead) {
        return refuseConflict({}, 0);
    }
    searchRemoval();
}

void ChangeCommitter::refuseConflict(const std::string &winner, ConfigurationVersion version)
{
    if (!isSettled()) {
        return retry(staleRead("the outcome of an earlier transaction is not settled"));
    }
    ChangeRefused refused;
    refused.error.code = ErrorCode::ChangeConflict;
    refused.error.detail = m_conflict.name.toString() + (m_conflict.current ? " was changed" : " was removed") + " by "
        + (winner.empty() ? "an operator who is not known" : winner)
        + (version != 0 ? " in version " + std::to_string(version) : std::string())
        + "; current state: " + (m_conflict.current ? toJson(m_conflict.current->object).toText() : "missing");
    refused.object = m_conflict.name;
    refused.winner = winner;
    if (m_conflict.current) {
        refused.currentRevision = m_conflict.current->version;
        refused.currentValue = m_conflict.current->object;
    }
    m_step = Step::Finished;
    m_deadline.reset();
    m_outputs.emplace_back(std::move(refused));
}

void ChangeCommitter::accept(const ConfigurationDelta &delta)
{
    m_step = Step::Finished;
    m_deadline.reset();
    m_outputs.emplace_back(ChangeAccepted {delta.targetVersion, delta, delta.targetDigest});
}

void ChangeCommitter::refuse(const Error &error)
{
    if (!isSettled() && error.code != ErrorCode::ChangeOutcomeUnknown) {
        // A refusal says that there was no effect, which is not known yet.
        return retry(error);
    }
    m_step = Step::Finished;
    m_deadline.reset();
    m_outputs.emplace_back(ChangeRefused {error, std::nullopt, {}, 0, std::nullopt});
}

} // namespace Fuchsiastep

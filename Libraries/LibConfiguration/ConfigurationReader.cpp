#include <LibConfiguration/ConfigurationReader.h>

#include <LibConfiguration/ChangeRow.h>
#include <LibConfiguration/ObjectRow.h>
#include <LibConfiguration/RowKeys.h>
#include <LibConfiguration/SnapshotObject.h>

#include <algorithm>

namespace Fuchsiastep {

/// A stale read can miss a change row that exists; after this many misses in a row it counts as lost.
static constexpr std::uint32_t MaximumMissingRowReads = 5;
/// Snapshots that are looked for before the object rows are scanned.
static constexpr std::size_t SnapshotCandidates = 2;

ConfigurationReader::ConfigurationReader(ConfigurationReaderSettings settings, const Clock &clock, Random &random)
    : m_settings(settings)
    , m_clock(clock)
    , m_random(random)
    , m_backoff(settings.backoffBase, settings.backoffCap)
    , m_known(Configuration::empty())
    , m_base(Configuration::empty())
    , m_snapshotBackoff(settings.backoffBase, settings.backoffCap)
{ }

ConfigurationReader::Outputs ConfigurationReader::handle(const ConfigurationReaderInput &input)
{
    m_outputs.clear();
    std::visit(Overloaded {
                   [&](const ReaderRole &role) { onRole(role); },
                   [&](const VersionNudge &nudge) { onNudge(nudge); },
                   [&](const ConfigurationHeld &held) { onHeld(held); },
                   [&](const PlatformRestored &) { onRestored(); },
                   [&](const PlatformReply &reply) { onReply(reply); },
               },
        input);
    startDueWork();
    return std::move(m_outputs);
}

ConfigurationReader::Outputs ConfigurationReader::advance()
{
    m_outputs.clear();
    if (!m_role.isReader) {
        return {};
    }
    if (m_step != Step::Idle && m_clock.now() >= m_callDeadline) {
        onCallFailed({ErrorCode::PlatformUnavailable, "the platform did not answer in time"});
    }
    if (m_flushAt && m_clock.now() >= *m_flushAt) {
        flush();
    }
    startDueWork();
    return std::move(m_outputs);
}

std::optional<TimePoint> ConfigurationReader::nextDeadline() const
{
    if (!m_role.isReader) {
        return std::nullopt;
    }
    TimePoint next = m_callDeadline;
    if (m_step == Step::Idle) {
        next = isBehind() || m_isRebuilding ? m_retryAt : std::max(m_nextPoll, m_retryAt);
        if (m_snapshot) {
            next = std::min(next, std::max(m_snapshotRetryAt, m_retryAt));
        }
    }
    return m_flushAt ? std::min(next, *m_flushAt) : next;
}

const ConfigurationReaderCounters &ConfigurationReader::counters() const
{
    return m_counters;
}

const Configuration::Pointer &ConfigurationReader::known() const
{
    return m_known;
}

void ConfigurationReader::onRole(const ReaderRole &role)
{
    const bool isGained = role.isReader && !m_role.isReader;
    m_role = role;
    if (!m_role.isReader || m_role.rank != 0) {
        m_snapshot.reset();
        m_step = m_step == Step::StoringSnapshot ? Step::Idle : m_step;
    }
    if (!m_role.isReader) {
        m_step = Step::Idle;
        abandonWork();
    }
    if (isGained) {
        m_nextPoll = m_clock.now();
    }
}

void ConfigurationReader::onNudge(const VersionNudge &nudge)
{
    if (nudge.version > std::max(m_head.version, m_known->version())) {
        m_nextPoll = std::min(m_nextPoll, m_clock.now());
    }
}

void ConfigurationReader::onHeld(const ConfigurationHeld &held)
{
    const ConfigurationVersion version = held.configuration->version();
    if (version <= m_known->version()) {
        return;
    }
    m_known = held.configuration;
    const auto reaching = std::find_if(m_pending.begin(), m_pending.end(), [&](const ConfigurationDelta &delta) {
        return delta.targetVersion == version && delta.targetDigest == m_known->digest();
    });
    if (reaching == m_pending.end() || m_isRebuilding) {
        abandonWork();
        return;
    }
    // The pending changes after the version held are still good, and so is a read of further ones.
    m_pending.erase(m_pending.begin(), reaching + 1);
    m_base = m_known;
    if (m_pending.empty()) {
        m_flushAt.reset();
    }
}

void ConfigurationReader::onRestored()
{
    if (m_step != Step::StoringSnapshot) {
        m_step = Step::Idle;
    }
    abandonWork();
    // The head that was read may be lost, and with it the changes that lead to it.
    m_head = {m_known->version(), m_known->digest()};
    m_reportedBehind.reset();
    m_nextPoll = m_clock.now();
}

/// Forgets everything that is in progress, so that reading resumes from the known configuration.
void ConfigurationReader::abandonWork()
{
    // Reading the head and storing a snapshot do not depend on what is forgotten.
    if (m_step != Step::ReadingHead && m_step != Step::StoringSnapshot) {
        m_step = Step::Idle;
    }
    m_pending.clear();
    m_flushAt.reset();
    m_base = m_known;
    m_isRebuilding = false;
    m_snapshotCandidates.clear();
    m_missingRowReads = 0;
    restartScan();
}

void ConfigurationReader::call(PlatformRequest request, Step step)
{
    std::visit(Overloaded {
                   [&](const ReadRows &read) { m_counters.rowsAskedFor += read.keys.size(); },
                   [&](const ScanRows &scan) { m_counters.rowsAskedFor += scan.limit; },
                   [&](const GetObject &) { ++m_counters.rowsAskedFor; },
                   [](const auto &) {},
               },
        request);
    m_counters.platformReads += step == Step::StoringSnapshot ? 0 : 1;
    m_step = step;
    m_callDeadline = m_clock.now() + m_settings.callTimeout;
    m_outputs.emplace_back(PlatformCall {++m_lastCallId, std::move(request)});
}

void ConfigurationReader::fail(const Error &error)
{
    m_step = Step::Idle;
    const Duration wait = m_backoff.next(m_random);
    m_retryAt = m_clock.now() + wait;
    m_outputs.emplace_back(ReaderFailure {error, wait});
}

void ConfigurationReader::onCallFailed(const Error &error)
{
    if (m_step == Step::StoringSnapshot) {
        m_step = Step::Idle;
        const Duration wait = m_snapshotBackoff.next(m_random);
        m_snapshotRetryAt = m_clock.now() + wait;
        m_outputs.emplace_back(ReaderFailure {error, wait});
        return;
    }
    fail(error);
}

bool ConfigurationReader::isBehind() const
{
    return m_head.version > reachedVersion();
}

void ConfigurationReader::startDueWork()
{
    if (!m_role.isReader || m_step != Step::Idle || m_clock.now() < m_retryAt) {
        return;
    }
    if (m_isRebuilding) {
        continueRebuild();
    } else if (isBehind()) {
        readChanges();
    } else if (m_clock.now() >= m_nextPoll) {
        m_nextPoll = m_clock.now() + m_settings.pollInterval;
        call(ReadRows {{std::string(HeadKey)}}, Step::ReadingHead);
    } else if (m_snapshot && m_clock.now() >= m_snapshotRetryAt) {
        call(PutObject {snapshotName(m_snapshot->version), m_snapshot->content}, Step::StoringSnapshot);
    }
}

void ConfigurationReader::onReply(const PlatformReply &reply)
{
    // A reply to a call that timed out or was abandoned is dropped.
    if (m_step == Step::Idle || reply.id != m_lastCallId) {
        return;
    }
    if (const auto *failure = std::get_if<PlatformFailure>(&reply.response)) {
        onCallFailed(failure->error);
    } else if (m_step == Step::ReadingSnapshot) {
        onSnapshotRead(reply.response);
    } else if (m_step == Step::StoringSnapshot) {
        onSnapshotStored(reply.response);
    } else if (const auto *rows = std::get_if<Rows>(&reply.response)) {
        onRows(rows->rows);
    } else {
        fail({ErrorCode::PlatformMalformedAnswer, "the platform answered a read with something else"});
    }
}

void ConfigurationReader::onRows(const std::vector<Row> &rows)
{
    const Step step = m_step;
    m_step = Step::Idle;
    switch (step) {
    case Step::ReadingHead:
        return onHead(rows);
    case Step::ReadingChanges:
        return onChanges(rows);
    case Step::ScanningObjects:
        return onObjectRows(rows);
    case Step::CheckingScan:
        return onScanChecked(rows);
    default:
        return;
    }
}

std::optional<HeadRow> ConfigurationReader::acceptHead(const std::vector<Row> &rows)
{
    if (rows.size() != 1) {
        fail({ErrorCode::PlatformMalformedAnswer, "the platform answered with the wrong number of rows"});
        return std::nullopt;
    }
    const Result<HeadRow> head = rows.front().revision != 0 ? HeadRow::tryDecode(rows.front().value) : Result<HeadRow>(HeadRow {});
    if (isError(head)) {
        fail(errorOf(head));
        return std::nullopt;
    }
    const ConfigurationVersion known = std::max(m_head.version, m_known->version());
    if (valueOf(head).version < known) {
        ++m_counters.staleHeads;
        if (m_reportedBehind != valueOf(head).version) {
            m_reportedBehind = valueOf(head).version;
            m_outputs.emplace_back(HeadBehind {valueOf(head).version, known});
        }
        return std::nullopt;
    }
    return valueOf(head);
}

void ConfigurationReader::onHead(const std::vector<Row> &rows)
{
    const std::optional<HeadRow> head = acceptHead(rows);
    if (!head) {
        return;
    }
    m_backoff.reset();
    m_head = *head;
    if (m_head.version == m_known->version() && m_head.digest != m_known->digest()) {
        report(m_head.version, {ErrorCode::DigestMismatch, "the head has another digest than the configuration held"});
        startRebuild(m_head.version);
    }
}

ConfigurationVersion ConfigurationReader::reachedVersion() const
{
    return m_pending.empty() ? m_base->version() : m_pending.back().targetVersion;
}

const Digest &ConfigurationReader::reachedDigest() const
{
    return m_pending.empty() ? m_base->digest() : m_pending.back().targetDigest;
}

void ConfigurationReader::readChanges()
{
    const ConfigurationVersion reached = reachedVersion();
    if (m_head.version - reached > m_settings.maximumVersionsBehind && m_pending.empty() && m_base == m_known) {
        startRebuild(reached + 1);
        continueRebuild();
        return;
    }
    ReadRows request;
    const ConfigurationVersion last = std::min(m_head.version, reached + m_settings.changeRowsPerRead);
    for (ConfigurationVersion version = reached + 1; version <= last; ++version) {
        request.keys.push_back(changeKey(version));
    }
    call(std::move(request), Step::ReadingChanges);
}

void ConfigurationReader::onChanges(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        if (!takeChange(row)) {
            break;
        }
    }
    if (rows.empty()) {
        fail({ErrorCode::PlatformMalformedAnswer, "the platform answered with no rows"});
    }
    if (m_isRebuilding) {
        return;
    }
    if (reachedVersion() == m_head.version && reachedDigest() != m_head.digest) {
        report(m_head.version, {ErrorCode::DigestMismatch, "the changes do not lead to the digest of the head"});
        startRebuild(m_head.version);
        return;
    }
    if (!m_pending.empty() && !m_flushAt) {
        m_flushAt = m_clock.now() + m_settings.batchWindow;
    }
}

/// Returns false where the change cannot be used and no later one either.
bool ConfigurationReader::takeChange(const Row &row)
{
    const ConfigurationVersion version = reachedVersion() + 1;
    if (row.revision == 0) {
        const Error error {ErrorCode::PlatformMalformedAnswer, "change row " + std::to_string(version) + " is missing"};
        if (++m_missingRowReads < MaximumMissingRowReads) {
            fail(error);
            return false;
        }
        report(version, error);
        startRebuild(version);
        return false;
    }
    m_missingRowReads = 0;
    Result<ChangeRow> change = ChangeRow::tryDecode(row.value, version);
    if (!isError(change) && valueOf(change).delta.baseDigest != reachedDigest()) {
        change = Error {ErrorCode::DigestMismatch, "change row " + std::to_string(version) + " does not follow the version before"};
    }
    if (isError(change)) {
        report(version, errorOf(change));
        startRebuild(version);
        return false;
    }
    m_pending.push_back(std::move(valueOf(std::move(change)).delta));
    return true;
}

void ConfigurationReader::report(ConfigurationVersion version, const Error &error)
{
    if (version <= m_highestReported) {
        return;
    }
    m_highestReported = version;
    ++m_counters.versionsReported;
    m_outputs.emplace_back(VersionReported {version, error});
}

/// Starts from a snapshot of at least version \a lowestUsable, or from the object rows.
void ConfigurationReader::startRebuild(ConfigurationVersion lowestUsable)
{
    abandonWork();
    m_isRebuilding = true;
    ++m_counters.rebuilds;
    ConfigurationVersion candidate = m_head.version - m_head.version % m_settings.snapshotInterval;
    const ConfigurationVersion lowest = std::max(lowestUsable, m_known->version() + 1);
    while (candidate >= lowest && candidate > 0 && m_snapshotCandidates.size() < SnapshotCandidates) {
        m_snapshotCandidates.insert(m_snapshotCandidates.begin(), candidate);
        candidate -= m_settings.snapshotInterval;
    }
}

void ConfigurationReader::continueRebuild()
{
    if (!m_snapshotCandidates.empty()) {
        call(GetObject {snapshotName(m_snapshotCandidates.back())}, Step::ReadingSnapshot);
        return;
    }
    call(ScanRows {std::string(ObjectKeyPrefix), m_scannedUntil, m_settings.objectRowsPerRead}, Step::ScanningObjects);
}

void ConfigurationReader::onSnapshotRead(const PlatformResponse &response)
{
    m_step = Step::Idle;
    const ConfigurationVersion version = m_snapshotCandidates.back();
    m_snapshotCandidates.pop_back();
    const auto *content = std::get_if<ObjectContent>(&response);
    if (content == nullptr) {
        return;
    }
    const Result<Configuration::Pointer> snapshot = tryDecodeSnapshot(content->content);
    if (isError(snapshot) || valueOf(snapshot)->version() != version) {
        m_outputs.emplace_back(VersionReported {
            version, isError(snapshot) ? errorOf(snapshot) : Error {ErrorCode::PlatformMalformedAnswer, "a snapshot has another version"}});
        return;
    }
    abandonWork();
    m_base = valueOf(snapshot);
    m_flushAt = m_clock.now() + m_settings.batchWindow;
}

void ConfigurationReader::restartScan()
{
    m_scannedObjects.clear();
    m_scannedUntil.clear();
}

void ConfigurationReader::onObjectRows(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        const Result<ObjectRow> object = ObjectRow::tryDecode(row.value);
        if (isError(object)) {
            restartScan();
            return fail({ErrorCode::PlatformMalformedAnswer, row.key + ": " + errorOf(object).detail});
        }
        m_scannedObjects.push_back(valueOf(object).object);
        m_scannedUntil = row.key;
    }
    // An empty page ends the scan; a short one may be the platform's own limit.
    if (rows.empty()) {
        call(ReadRows {{std::string(HeadKey)}}, Step::CheckingScan);
    }
}

void ConfigurationReader::onScanChecked(const std::vector<Row> &rows)
{
    const std::vector<DeclaredObject> objects = std::move(m_scannedObjects);
    restartScan();
    const std::optional<HeadRow> head = acceptHead(rows);
    if (!head) {
        if (m_step == Step::Idle && m_clock.now() >= m_retryAt) {
            fail({ErrorCode::PlatformUnavailable, "the platform gave a stale head"});
        }
        return;
    }
    m_head = *head;
    const bool isReplaced = m_head.version == m_known->version() && m_head.digest != m_known->digest();
    if (m_head.version <= m_known->version() && !isReplaced) {
        return abandonWork();
    }
    const Result<Configuration::Pointer> built = Configuration::tryBuild(objects, m_head.version, m_head.digest);
    if (isError(built)) {
        // The rows changed during the scan, or the newest version is invalid by itself.
        if (errorOf(built).code == ErrorCode::DanglingReference) {
            report(m_head.version, errorOf(built));
        }
        return fail(errorOf(built));
    }
    m_backoff.reset();
    abandonWork();
    if (isReplaced) {
        m_known = valueOf(built);
        m_base = m_known;
        m_outputs.emplace_back(ContentReplaced {m_known});
        return;
    }
    m_base = valueOf(built);
    publish(0, m_base);
}

std::vector<const ConfigurationDelta *> ConfigurationReader::chainOf(std::size_t length) const
{
    std::vector<const ConfigurationDelta *> chain;
    chain.reserve(length);
    for (std::size_t i = 0; i < length; ++i) {
        chain.push_back(&m_pending[i]);
    }
    return chain;
}

Result<Configuration::Pointer> ConfigurationReader::tryResultOf(std::size_t length) const
{
    if (length == 0) {
        return m_base;
    }
    const Result<ConfigurationDelta> merged = ConfigurationDelta::tryMergeChain(chainOf(length));
    return isError(merged) ? Result<Configuration::Pointer>(errorOf(merged)) : m_base->tryApply(valueOf(merged));
}

void ConfigurationReader::flush()
{
    if (m_base != m_known && reachedVersion() < m_head.version) {
        // A snapshot is confirmed by the changes that lead from it to the head, which are still being read.
        m_flushAt = m_clock.now() + m_settings.batchWindow;
        return;
    }
    m_flushAt.reset();
    if (m_base != m_known && reachedDigest() != m_head.digest) {
        report(m_head.version, {ErrorCode::DigestMismatch, "a snapshot does not lead to the digest of the head"});
        startRebuild(m_head.version + 1);
        return;
    }
    Error error;
    const std::size_t shortest = m_base == m_known ? 1 : 0;
    std::size_t length = m_pending.size();
    Result<Configuration::Pointer> result = Error {};
    for (; length >= shortest; --length) {
        result = tryResultOf(length);
        if (!isError(result) || length == 0) {
            break;
        }
        error = errorOf(result);
    }
    if (!isError(result)) {
        publish(length, valueOf(result));
    }
    if (m_pending.empty()) {
        return;
    }
    const ConfigurationVersion refused = m_pending.front().targetVersion;
    report(refused, error);
    if (error.code != ErrorCode::DanglingReference) {
        startRebuild(refused);
        return;
    }
    // None of these is valid as the last one, so only what they do together matters from here on.
    while (m_pending.size() > 1) {
        Result<ConfigurationDelta> merged = m_pending[0].tryMerge(m_pending[1]);
        m_pending.erase(m_pending.begin());
        m_pending.front() = valueOf(std::move(merged));
    }
}

/// Announces the configuration that the first \a length pending changes lead to.
void ConfigurationReader::publish(std::size_t length, const Configuration::Pointer &result)
{
    if (m_role.rank == 0) {
        planSnapshot(length, result);
    }
    ConfigurationFound found {result, result};
    if (m_base == m_known) {
        found.content = valueOf(ConfigurationDelta::tryMergeChain(chainOf(length)));
    }
    m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(length));
    m_known = result;
    m_base = result;
    m_outputs.emplace_back(std::move(found));
}

void ConfigurationReader::planSnapshot(std::size_t length, const Configuration::Pointer &result)
{
    const ConfigurationVersion wanted = result->version() - result->version() % m_settings.snapshotInterval;
    if (wanted <= m_known->version()) {
        return;
    }
    // Changes found as one may pass over the wanted version.
    for (std::size_t i = 0; i <= length; ++i) {
        const ConfigurationVersion version = i == 0 ? m_base->version() : m_pending[i - 1].targetVersion;
        if (version != wanted) {
            continue;
        }
        const Result<Configuration::Pointer> configuration = i == length ? Result<Configuration::Pointer>(result) : tryResultOf(i);
        if (!isError(configuration)) {
            m_snapshot = PendingSnapshot {wanted, encodeSnapshot(*valueOf(configuration))};
            m_snapshotBackoff.reset();
            m_snapshotRetryAt = m_clock.now();
        }
    }
}

void ConfigurationReader::onSnapshotStored(const PlatformResponse &response)
{
    if (!std::holds_alternative<Committed>(response)) {
        return onCallFailed({ErrorCode::PlatformMalformedAnswer, "the platform answered a write with something else"});
    }
    m_step = Step::Idle;
    ++m_counters.snapshotsStored;
    m_outputs.emplace_back(SnapshotStored {m_snapshot->version});
    m_snapshot.reset();
}

} // namespace Fuchsiastep

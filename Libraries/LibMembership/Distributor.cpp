#include <LibMembership/Distributor.h>

#include <LibCore/Compression.h>
#include <LibCore/Result.h>
#include <LibMembership/RendezvousHash.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

/// Pushes remembered, so that a repeated frame is not distributed again.
static constexpr std::size_t MaximumHandledPushes = 64;
/// Longest content of a delta or a snapshot, so that a faulty peer cannot use up the memory.
static constexpr std::size_t MaximumContentBytes = 64 * 1024 * 1024;
/// A longer delta is sent as a snapshot, which travels in parts.
static constexpr std::size_t MaximumDeltaBytes = 512 * 1024;

/// The content itself is wrong, so that a copy from another peer would be refused as well.
static bool isContentError(ErrorCode code)
{
    return code == ErrorCode::DanglingReference || code == ErrorCode::DeclarationMalformed || code == ErrorCode::ObjectMissing;
}

Distributor::Distributor(
    DistributorSettings settings, const MembershipTable &table, ConfigurationHolder &holder, const Clock &clock, Random &random)
    : m_settings(settings)
    , m_table(table)
    , m_holder(holder)
    , m_clock(clock)
    , m_random(random)
    , m_broadcast(m_settings, table, clock, random)
    , m_snapshots(m_settings, clock, random)
    , m_puller(m_settings, table, clock, random)
    , m_startedAt(clock.now())
    , m_nextRemotePull(clock.now())
{ }

std::vector<DistributorOutput> Distributor::handle(const DistributorInput &input)
{
    std::visit([this](const auto &message) { accept(message); }, input);
    advancePuller();
    return std::exchange(m_outputs, {});
}

std::vector<DistributorOutput> Distributor::advance()
{
    const TimePoint now = m_clock.now();
    append(m_broadcast.advance());
    append(m_snapshots.advance());
    if (m_foundDue && now >= *m_foundDue) {
        startFound();
    }
    runHoldStep();
    if (!m_isPlatformReadable && now >= m_nextRemotePull) {
        m_nextRemotePull = now + m_settings.remotePullPeriod;
        pullFromOtherDataCentre();
    }
    advancePuller();
    return std::exchange(m_outputs, {});
}

void Distributor::advancePuller()
{
    if (!pullsFrom() || m_clock.now() >= *pullsFrom()) {
        append(m_puller.advance(held()));
    }
}

/// When pulls begin; nothing where they have begun.
std::optional<TimePoint> Distributor::pullsFrom() const
{
    const bool readsByItself = held().version == 0 && m_isPlatformReadable && m_settings.firstReadTime.count() > 0;
    return readsByItself ? std::optional(m_startedAt + m_settings.firstReadTime) : std::nullopt;
}

std::optional<TimePoint> Distributor::nextDeadline() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](std::optional<TimePoint> deadline) {
        if (deadline && (!next || *deadline < *next)) {
            next = deadline;
        }
    };
    consider(m_broadcast.nextDeadline());
    consider(m_snapshots.nextDeadline());
    const std::optional<TimePoint> nextPull = m_puller.nextDeadline();
    consider(nextPull && pullsFrom() ? std::max(nextPull, pullsFrom()) : nextPull);
    consider(m_holdStep ? std::nullopt : m_foundDue);
    if (m_holdStep) {
        consider(m_holdStep->nextDeadline());
    }
    if (!m_isPlatformReadable) {
        consider(m_nextRemotePull);
    }
    return next;
}

void Distributor::accept(const ConfigurationFound &found)
{
    std::visit([this](const auto &content) { acceptFound(content); }, found.content);
}

void Distributor::accept(const ContentReplaced &replaced)
{
    if (isError(m_holder.tryReplace(replaced.configuration))) {
        return;
    }
    // Both start from the content that was replaced.
    m_found.reset();
    m_holdStep.reset();
    reportAdopted();
}

void Distributor::accept(const PeerFrame &frame)
{
    std::visit(
        Overloaded {
            [&](const ConfigurationPushFrame &push) { acceptPush(frame.peer, push); },
            [&](const ConfigurationAckFrame &ack) { acceptAck(frame.peer, ack); },
            [&](const ConfigurationPullFrame &pull) { acceptPull(frame.peer, pull); },
            [&](const ConfigurationSnapshotFrame &part) { acceptSnapshot(frame.peer, part); },
            [&](const SnapshotDeferredFrame &deferral) { m_puller.deferred(frame.peer, std::chrono::milliseconds(deferral.retryAfterMs)); },
            [](const auto &) { /* Other frames concern other decision objects. */ },
        },
        frame.frame);
}

void Distributor::accept(const PeerVersion &version)
{
    m_puller.seen(version.peer, version.held, held());
}

void Distributor::accept(const MemberChange &change)
{
    if (!memberStateInfo(change.after.state).isLive) {
        append(m_broadcast.lost(change.after.proxyId));
        m_snapshots.finished(change.after.proxyId);
        return;
    }
    if (held().version == 0) {
        m_puller.askAtOnce();
    }
}

void Distributor::accept(const PlatformReadability &readability)
{
    m_isPlatformReadable = readability.isReadable;
}

void Distributor::acceptFound(const ConfigurationDelta &delta)
{
    if (delta.targetVersion <= held().version) {
        return;
    }
    Result<ConfigurationDelta> merged = m_found ? m_found->tryMerge(delta) : Result<ConfigurationDelta>(delta);
    m_found = isError(merged) ? delta : valueOf(std::move(merged));
    if (!m_foundDue) {
        m_foundDue = m_clock.now() + m_settings.batchDelay;
    }
    if (m_settings.batchDelay == Duration(0) && !m_holdStep) {
        startFound();
        runHoldStep();
    }
}

void Distributor::acceptFound(const Configuration::Pointer &configuration)
{
    // A whole configuration comes without a delta; the other members pull it when they see its version.
    if (!isError(m_holder.tryAdopt(configuration))) {
        reportAdopted();
    }
}

void Distributor::startFound()
{
    if (m_holdStep) {
        return;
    }
    m_foundDue.reset();
    if (!m_found || m_found->targetVersion <= held().version) {
        m_found.reset();
        return;
    }
    rebaseFound();
    const Result<Configuration::Pointer> result = m_holder.current()->tryApply(*m_found);
    if (isError(result)) {
        // The delta is kept: merged with the next one it may lead past the version that is not valid.
        reject(errorOf(result), {});
        return;
    }
    m_holdStep.emplace(m_settings, m_table, *std::exchange(m_found, std::nullopt), m_clock.now());
}

/// A push by another reader can move the holder past the version from which the found delta starts. The delta has
/// the final value of every object that it names, so it leads to the same result from each version that it covers;
/// the digest of the result shows whether that is so.
void Distributor::rebaseFound()
{
    const VersionStamp own = held();
    if (own.version > m_found->baseVersion && own.version < m_found->targetVersion) {
        m_found->baseVersion = own.version;
        m_found->baseDigest = own.digest;
    }
}

void Distributor::runHoldStep()
{
    if (!m_holdStep) {
        return;
    }
    append(m_holdStep->advance(m_clock.now()));
    if (!m_holdStep->isFinished(m_clock.now())) {
        return;
    }
    const ConfigurationDelta delta = m_holdStep->delta();
    const ConfigurationPushFrame push = m_holdStep->push();
    m_holdStep.reset();
    const Result<Done> result = m_holder.tryApplyDelta(delta);
    if (!isError(result)) {
        reportAdopted();
    }
    // A push by another reader may have brought exactly this version in the meantime; its range is still to be covered.
    if (held().version == delta.targetVersion) {
        append(m_broadcast.start(push, RingRange {}));
    }
    if (m_found) {
        m_foundDue = std::max(m_foundDue.value_or(m_clock.now()), m_clock.now());
    }
}

void Distributor::acceptPush(const std::string &peer, const ConfigurationPushFrame &push)
{
    const Result<std::string> content = tryDecompress(push.delta, MaximumContentBytes);
    const Result<ConfigurationDelta> decoded =
        isError(content) ? Result<ConfigurationDelta>(errorOf(content)) : ConfigurationDelta::tryDecode(valueOf(content));
    if (isError(decoded)) {
        reject(errorOf(decoded), peer);
        return;
    }
    const ConfigurationDelta &delta = valueOf(decoded);
    if (delta.targetVersion != push.targetVersion || delta.targetDigest != push.targetDigest) {
        reject({ErrorCode::DigestMismatch, "the frame and its delta name different versions"}, peer);
        return;
    }
    m_puller.answeredDelta(peer);
    yieldToBetterReader(peer, push);
    const bool isAdopted = applyPushed(peer, delta);
    send(peer, ConfigurationAckFrame {push.targetVersion, held().version >= push.targetVersion});
    forward(peer, push, isAdopted);
}

void Distributor::yieldToBetterReader(const std::string &peer, const ConfigurationPushFrame &push)
{
    if (!m_holdStep || m_holdStep->delta().targetVersion > push.targetVersion) {
        return;
    }
    // Readers that find a version at the same moment would each distribute it. The order is equal on every proxy, so
    // that exactly one of them goes on.
    if (goesBefore(m_table, ReaderRoleName, peer, m_table.self().proxyId)) {
        m_holdStep.reset();
    }
}

bool Distributor::applyPushed(const std::string &peer, const ConfigurationDelta &delta)
{
    const Result<Done> result = m_holder.tryApplyDelta(delta);
    if (!isError(result)) {
        reportAdopted();
        return true;
    }
    if (errorOf(result).code != ErrorCode::VersionTooLow) {
        rejectPushed(peer, delta, errorOf(result));
    }
    return false;
}

void Distributor::rejectPushed(const std::string &peer, const ConfigurationDelta &delta, const Error &error)
{
    const VersionStamp target {delta.targetVersion, delta.targetDigest};
    if (error.code == ErrorCode::BaseMismatch && delta.baseVersion != held().version) {
        // An earlier push is late or was lost, or a later one came first; nothing is wrong with this one.
        m_puller.seen(peer, target, held());
        return;
    }
    reject(error, peer);
    if (isContentError(error.code)) {
        m_puller.refused(target);
        return;
    }
    m_puller.demandSnapshot(peer, target, held());
}

void Distributor::forward(const std::string &peer, const ConfigurationPushFrame &push, bool isAdopted)
{
    RingRange range {push.rangeBegin, push.rangeEnd};
    const MemberRecord *sender = m_table.find(peer);
    const bool isRemote = sender != nullptr && sender->dataCentre != m_table.self().dataCentre;
    // What a reader pulled from another data centre while it could not read the platform is new to its neighbours.
    if (isRemote) {
        range = isAdopted ? RingRange {} : RingRange {1, 0};
    }
    // A later version is on its way to the same members by itself.
    const bool isRefused = m_puller.isRefused({push.targetVersion, push.targetDigest});
    if (range.isEmpty() || isRefused || held().version > push.targetVersion) {
        return;
    }
    const HandledPush handled {{push.targetVersion, push.targetDigest}, range};
    if (std::find(m_handledPushes.begin(), m_handledPushes.end(), handled) != m_handledPushes.end()) {
        return;
    }
    m_handledPushes.push_back(handled);
    if (m_handledPushes.size() > MaximumHandledPushes) {
        m_handledPushes.pop_front();
    }
    append(m_broadcast.start(push, range));
}

void Distributor::acceptAck(const std::string &peer, const ConfigurationAckFrame &ack)
{
    m_broadcast.acknowledged(peer, ack.version);
    m_snapshots.acknowledged(peer, ack);
    if (ack.isHeld && m_holdStep) {
        m_holdStep->acknowledged(peer, ack.version);
        runHoldStep();
    }
    if (ack.version <= held().version) {
        m_puller.answeredNothing(peer);
    }
}

void Distributor::acceptPull(const std::string &peer, const ConfigurationPullFrame &pull)
{
    const VersionStamp own = held();
    if (own.version <= pull.versionHeld) {
        send(peer, ConfigurationAckFrame {own.version, own.version > 0});
        return;
    }
    const std::optional<ConfigurationDelta> delta = m_holder.deltaFrom(pull.versionHeld, pull.digestHeld);
    if (delta && pull.versionHeld > 0) {
        ConfigurationPushFrame push = pushFrame(*delta);
        if (push.delta.size() <= MaximumDeltaBytes) {
            send(peer, std::move(push));
            return;
        }
    }
    append(m_snapshots.request(peer, m_holder.current()));
}

void Distributor::acceptSnapshot(const std::string &peer, const ConfigurationSnapshotFrame &part)
{
    if (const auto snapshot = m_puller.received(peer, part)) {
        finishSnapshot(peer, *snapshot);
    }
}

void Distributor::finishSnapshot(const std::string &peer, const ConfigurationPuller::Snapshot &snapshot)
{
    const Result<std::string> content = tryDecompress(snapshot.content, MaximumContentBytes);
    const Result<Configuration::Pointer> decoded = isError(content)
        ? Result<Configuration::Pointer>(errorOf(content))
        : Configuration::tryDecode(valueOf(content), snapshot.stamp.version, snapshot.stamp.digest);
    const Result<Done> result = isError(decoded) ? Result<Done>(errorOf(decoded)) : m_holder.tryAdopt(valueOf(decoded));
    // The acknowledgement frees the place of the snapshot at the peer, whether it was of use or not.
    send(peer, ConfigurationAckFrame {snapshot.stamp.version, held().version >= snapshot.stamp.version});
    if (!isError(result)) {
        reportAdopted();
        return;
    }
    if (errorOf(result).code != ErrorCode::VersionTooLow) {
        reject(errorOf(result), peer);
    }
    if (errorOf(result).code == ErrorCode::DanglingReference) {
        m_puller.refused(snapshot.stamp);
    }
}

void Distributor::pullFromOtherDataCentre()
{
    if (!holdsRole(m_table, ReaderRoleName)) {
        return;
    }
    std::vector<std::string> readers;
    for (const std::string &dataCentre : m_table.dataCentres()) {
        if (dataCentre == m_table.self().dataCentre) {
            continue;
        }
        for (const MemberRecord *reader : readersOf(m_table, dataCentre)) {
            readers.push_back(reader->proxyId);
        }
    }
    if (!readers.empty()) {
        append(m_puller.pullFrom(readers[m_random.below(readers.size())], held()));
    }
}

void Distributor::reportAdopted()
{
    m_puller.adopted(held());
    if (m_found && !m_foundDue) {
        // What was found and could not be applied may follow the version that is held now.
        m_foundDue = m_clock.now();
    }
    m_outputs.emplace_back(ConfigurationAdopted {m_holder.current()});
}

void Distributor::reject(const Error &error, const std::string &peer)
{
    m_outputs.emplace_back(ConfigurationRejected {error, peer});
}

VersionStamp Distributor::held() const
{
    return {m_holder.current()->version(), m_holder.current()->digest()};
}

void Distributor::send(const std::string &peer, Frame frame)
{
    m_outputs.emplace_back(SendFrame {peer, std::move(frame)});
}

void Distributor::append(std::vector<DistributorOutput> outputs)
{
    std::move(outputs.begin(), outputs.end(), std::back_inserter(m_outputs));
}

} // namespace Fuchsiastep

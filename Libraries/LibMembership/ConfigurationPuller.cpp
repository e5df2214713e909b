#include <LibMembership/ConfigurationPuller.h>

#include <algorithm>

namespace Fuchsiastep {

/// Peers remembered as holders of a later version.
static constexpr std::size_t MaximumCandidates = 64;
/// Longest snapshot in bytes, so that a faulty peer cannot use up the memory.
static constexpr std::size_t MaximumSnapshotBytes = 64 * 1024 * 1024;
static constexpr std::size_t MaximumRefusals = 8;

ConfigurationPuller::ConfigurationPuller(
    const DistributorSettings &settings, const MembershipTable &table, const Clock &clock, Random &random)
    : m_settings(settings)
    , m_table(table)
    , m_clock(clock)
    , m_random(random)
    , m_backoff(settings.pullBackoff, settings.pullBackoffCap)
    , m_timeout(settings.pullTimeout)
{ }

void ConfigurationPuller::seen(const std::string &peer, const VersionStamp &stamp, const VersionStamp &held)
{
    if (stamp.version <= held.version || isRefused(stamp)) {
        m_candidates.erase(peer);
        return;
    }
    if (m_candidates.size() < MaximumCandidates || m_candidates.contains(peer)) {
        m_candidates[peer] = stamp;
    }
    scheduleWithin(m_random.jitter(m_settings.pullJitter));
}

void ConfigurationPuller::askAtOnce()
{
    scheduleWithin(Duration(0));
}

void ConfigurationPuller::adopted(const VersionStamp &held)
{
    std::erase_if(m_candidates, [&](const auto &candidate) { return candidate.second.version <= held.version; });
    m_isSnapshotDemanded = false;
    m_backoff.reset();
    m_timeout = m_settings.pullTimeout;
    if (m_candidates.empty()) {
        m_due.reset();
        m_pull.reset();
    }
}

void ConfigurationPuller::refused(const VersionStamp &stamp)
{
    if (m_refused.size() == MaximumRefusals) {
        m_refused.erase(m_refused.begin());
    }
    m_refused.emplace_back(stamp, m_clock.now() + m_settings.refusalTime);
    std::erase_if(m_candidates, [&](const auto &candidate) { return candidate.second == stamp; });
}

void ConfigurationPuller::demandSnapshot(const std::string &peer, const VersionStamp &stamp, const VersionStamp &held)
{
    m_isSnapshotDemanded = true;
    seen(peer, stamp, held);
}

void ConfigurationPuller::answeredNothing(const std::string &peer)
{
    if (m_pull && m_pull->peer == peer) {
        abandon(peer);
    }
}

void ConfigurationPuller::answeredDelta(const std::string &peer)
{
    if (m_pull && m_pull->peer == peer) {
        m_pull.reset();
        if (!m_candidates.empty()) {
            retry();
        }
    }
}

void ConfigurationPuller::deferred(const std::string &peer, Duration retryAfter)
{
    if (m_pull && m_pull->peer == peer) {
        m_pull.reset();
        m_due = m_clock.now() + retryAfter;
    }
}

std::optional<ConfigurationPuller::Snapshot> ConfigurationPuller::received(const std::string &peer, const ConfigurationSnapshotFrame &part)
{
    if (!m_pull || m_pull->peer != peer) {
        return std::nullopt;
    }
    const VersionStamp stamp {part.version, part.digest};
    if (m_pull->stamp != stamp) {
        m_pull->stamp = stamp;
        m_pull->content.clear();
    }
    m_pull->content += part.content;
    m_pull->deadline = m_clock.now() + m_settings.pullTimeoutCap;
    if (m_pull->content.size() > MaximumSnapshotBytes) {
        abandon(peer);
        return std::nullopt;
    }
    if (!part.content.empty()) {
        return std::nullopt;
    }
    Snapshot snapshot {stamp, std::move(m_pull->content)};
    m_pull.reset();
    retry();
    return snapshot;
}

std::vector<DistributorOutput> ConfigurationPuller::advance(const VersionStamp &held)
{
    const TimePoint now = m_clock.now();
    std::vector<DistributorOutput> outputs;
    if (m_pull && now >= m_pull->deadline) {
        outputs.emplace_back(PullTimedOut {m_pull->peer});
        m_timedOutPeer = m_pull->peer;
        m_pull.reset();
        // The timeout has spaced the pulls already; the growing backoff is for peers that answer.
        m_timeout = std::min(m_timeout * 2, m_settings.pullTimeoutCap);
        m_due = now + m_random.jitter(m_settings.pullBackoff);
    }
    if (m_pull || !m_due || now < *m_due) {
        return outputs;
    }
    m_due.reset();
    if (const std::optional<std::string> peer = choosePeer(held)) {
        std::vector<DistributorOutput> pull = pullFrom(*peer, held);
        std::move(pull.begin(), pull.end(), std::back_inserter(outputs));
    }
    return outputs;
}

std::vector<DistributorOutput> ConfigurationPuller::pullFrom(const std::string &peer, const VersionStamp &held)
{
    if (m_pull) {
        return {};
    }
    m_pull = Pull {peer, m_clock.now() + m_timeout};
    if (m_isSnapshotDemanded) {
        return {SendFrame {peer, ConfigurationPullFrame {}}};
    }
    return {SendFrame {peer, ConfigurationPullFrame {held.version, held.digest}}};
}

std::optional<TimePoint> ConfigurationPuller::nextDeadline() const
{
    return m_pull ? m_pull->deadline : m_due;
}

void ConfigurationPuller::scheduleWithin(Duration wait)
{
    if (!m_pull && !m_due) {
        m_due = m_clock.now() + wait;
    }
}

void ConfigurationPuller::retry()
{
    m_due = m_clock.now() + m_backoff.next(m_random);
}

void ConfigurationPuller::abandon(const std::string &peer)
{
    m_pull.reset();
    m_candidates.erase(peer);
    retry();
}

bool ConfigurationPuller::isRefused(const VersionStamp &stamp)
{
    std::erase_if(m_refused, [this](const auto &refusal) { return refusal.second <= m_clock.now(); });
    return std::any_of(m_refused.begin(), m_refused.end(), [&](const auto &refusal) { return refusal.first == stamp; });
}

std::optional<std::string> ConfigurationPuller::choosePeer(const VersionStamp &held)
{
    std::erase_if(m_candidates, [this](const auto &candidate) {
        const MemberRecord *record = m_table.find(candidate.first);
        return record != nullptr && !memberStateInfo(record->state).isLive;
    });
    ConfigurationVersion highest = held.version;
    for (const auto &[peer, stamp] : m_candidates) {
        highest = std::max(highest, stamp.version);
    }
    std::vector<std::string> peers;
    for (const auto &[peer, stamp] : m_candidates) {
        if (stamp.version == highest && highest > held.version) {
            peers.push_back(peer);
        }
    }
    // A peer that did not answer is asked again only where no other one has the version.
    if (peers.size() > 1) {
        std::erase(peers, m_timedOutPeer);
    }
    if (!peers.empty()) {
        return peers[m_random.below(peers.size())];
    }
    return held.version == 0 ? chooseAnyPeer() : std::nullopt;
}

std::optional<std::string> ConfigurationPuller::chooseAnyPeer()
{
    const auto peers = m_table.livePeers();
    // A fleet without any configuration must not ask itself for one for ever; probes tell when there is one.
    if (peers.empty() || m_firstPulls == m_settings.firstPulls) {
        return std::nullopt;
    }
    ++m_firstPulls;
    return peers[m_random.below(peers.size())]->proxyId;
}

} // namespace Fuchsiastep

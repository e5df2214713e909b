#include <LibMembership/SnapshotServer.h>

#include <LibCore/Compression.h>

#include <algorithm>

namespace Fuchsiastep {

SnapshotServer::SnapshotServer(const DistributorSettings &settings, const Clock &clock, Random &random)
    : m_settings(settings), m_clock(clock), m_random(random)
{ }

std::vector<DistributorOutput> SnapshotServer::request(const std::string &peer, const Configuration::Pointer &configuration)
{
    const auto running = m_transfers.find(peer);
    if (running != m_transfers.end()) {
        if (!running->second.isEndSent) {
            return {};
        }
        // The peer asks again, so it lost a part.
        m_transfers.erase(running);
    }
    if (m_transfers.size() >= m_settings.snapshotsAtOnce) {
        const Duration wait = m_random.jitter(m_settings.deferralLimit);
        const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count() + 1;
        return {SendFrame {peer, SnapshotDeferredFrame {static_cast<std::uint32_t>(waitMs)}}};
    }
    m_transfers.emplace(
        peer, Transfer {configuration->version(), configuration->digest(), encoded(*configuration), 0, false, m_clock.now()});
    return advance();
}

void SnapshotServer::acknowledged(const std::string &peer, const ConfigurationAckFrame &ack)
{
    const auto running = m_transfers.find(peer);
    if (running == m_transfers.end() || running->second.version != ack.version) {
        return;
    }
    // An acknowledgement of a push of the same version that could not be applied does not answer the snapshot.
    if (ack.isHeld || running->second.isEndSent) {
        m_transfers.erase(running);
    }
}

void SnapshotServer::finished(const std::string &peer)
{
    m_transfers.erase(peer);
}

std::vector<DistributorOutput> SnapshotServer::advance()
{
    std::vector<DistributorOutput> outputs;
    for (auto entry = m_transfers.begin(); entry != m_transfers.end();) {
        Transfer &transfer = entry->second;
        if (transfer.due > m_clock.now()) {
            ++entry;
            continue;
        }
        if (transfer.isEndSent) {
            entry = m_transfers.erase(entry);
            continue;
        }
        outputs.emplace_back(nextPart(entry->first, transfer));
        ++entry;
    }
    return outputs;
}

std::optional<TimePoint> SnapshotServer::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const auto &[peer, transfer] : m_transfers) {
        next = std::min(next.value_or(transfer.due), transfer.due);
    }
    return next;
}

std::shared_ptr<const std::string> SnapshotServer::encoded(const Configuration &configuration)
{
    const VersionStamp stamp {configuration.version(), configuration.digest()};
    std::shared_ptr<const std::string> content = m_encoded.lock();
    if (content == nullptr || m_encodedVersion != stamp) {
        content = std::make_shared<const std::string>(compress(configuration.encode()));
        m_encoded = content;
        m_encodedVersion = stamp;
    }
    return content;
}

SendFrame SnapshotServer::nextPart(const std::string &peer, Transfer &transfer) const
{
    const std::string part = transfer.content->substr(transfer.offset, m_settings.snapshotPartBytes);
    transfer.offset += part.size();
    transfer.isEndSent = part.empty();
    transfer.due = m_clock.now() + (part.empty() ? m_settings.snapshotTimeout : m_settings.snapshotPartPeriod);
    return {peer, ConfigurationSnapshotFrame {transfer.version, transfer.digest, part}};
}

} // namespace Fuchsiastep

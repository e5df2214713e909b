#include <LibRequest/AnswerTransfers.h>

#include <algorithm>

namespace Fuchsiastep {

AnswerTransfers::AnswerTransfers(const Settings &settings, const Clock &clock)
    : m_settings(settings), m_rate(settings.linkBytesPerSecond, clock)
{ }

std::vector<SendPart> AnswerTransfers::start(std::uint64_t connectionId, std::vector<AnswerPartFrame> parts)
{
    if (parts.empty()) {
        return {};
    }
    Transfer &transfer = m_transfers[{connectionId, parts.front().requestId}];
    for (AnswerPartFrame &part : parts) {
        transfer.bytesLeft += part.body.size();
        m_bytesWaiting += part.body.size();
        transfer.parts.push_back(std::move(part));
    }
    return sendMore();
}

std::vector<SendPart> AnswerTransfers::acknowledge(std::uint64_t connectionId, const AnswerPartAckFrame &ack)
{
    const auto found = m_transfers.find({connectionId, ack.requestId});
    if (found == m_transfers.end()) {
        return {};
    }
    Transfer &transfer = found->second;
    while (!transfer.onTheWay.empty() && transfer.onTheWay.front().first <= ack.end) {
        const std::uint64_t bytes = transfer.onTheWay.front().second;
        transfer.onTheWay.pop_front();
        m_bytesOnTheWay -= bytes;
        m_rate.recordDelivered(bytes);
    }
    if (transfer.parts.empty() && transfer.onTheWay.empty()) {
        m_transfers.erase(found);
    }
    return sendMore();
}

void AnswerTransfers::drop(std::map<Key, Transfer>::iterator transfer)
{
    m_bytesWaiting -= transfer->second.bytesLeft;
    for (const auto &[end, bytes] : transfer->second.onTheWay) {
        m_bytesOnTheWay -= bytes;
    }
    m_transfers.erase(transfer);
}

std::vector<SendPart> AnswerTransfers::cancel(std::uint64_t connectionId, std::uint64_t requestId)
{
    const auto found = m_transfers.find({connectionId, requestId});
    if (found == m_transfers.end()) {
        return {};
    }
    drop(found);
    return sendMore();
}

std::vector<SendPart> AnswerTransfers::closeConnection(std::uint64_t connectionId)
{
    auto transfer = m_transfers.lower_bound({connectionId, 0});
    while (transfer != m_transfers.end() && transfer->first.first == connectionId) {
        drop(transfer++);
    }
    return sendMore();
}

std::uint64_t AnswerTransfers::windowBytes() const
{
    if (m_rate.bytesPerSecond() <= 0) {
        return m_settings.initialWindowBytes;
    }
    const double seconds = std::chrono::duration<double>(m_settings.longestQueue).count();
    return std::clamp(
        static_cast<std::uint64_t>(m_rate.bytesPerSecond() * seconds), m_settings.smallestWindowBytes, m_settings.largestWindowBytes);
}

std::vector<SendPart> AnswerTransfers::sendMore()
{
    std::vector<SendPart> sent;
    while (m_bytesWaiting > 0 && m_bytesOnTheWay < windowBytes()) {
        auto shortest = m_transfers.end();
        for (auto transfer = m_transfers.begin(); transfer != m_transfers.end(); ++transfer) {
            const bool isShorter = shortest == m_transfers.end() || transfer->second.bytesLeft < shortest->second.bytesLeft;
            shortest = !transfer->second.parts.empty() && isShorter ? transfer : shortest;
        }
        Transfer &transfer = shortest->second;
        AnswerPartFrame part = std::move(transfer.parts.front());
        transfer.parts.pop_front();
        const std::uint64_t bytes = part.body.size();
        transfer.bytesLeft -= bytes;
        transfer.onTheWay.emplace_back(part.offset + bytes, bytes);
        m_bytesWaiting -= bytes;
        m_bytesOnTheWay += bytes;
        sent.push_back({shortest->first.first, std::move(part)});
    }
    m_rate.setSaturated(m_bytesWaiting > 0);
    return sent;
}

Duration AnswerTransfers::backlog() const
{
    return timeFor(static_cast<double>(m_bytesWaiting + m_bytesOnTheWay));
}

Duration AnswerTransfers::timeFor(double bytes) const
{
    constexpr double MicrosecondsPerSecond = 1e6;
    return m_rate.bytesPerSecond() > 0 ? Duration(static_cast<Duration::rep>(bytes / m_rate.bytesPerSecond() * MicrosecondsPerSecond))
                                       : Duration(0);
}

} // namespace Fuchsiastep

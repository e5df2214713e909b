#include <LibRequest/TransitDelays.h>

namespace Fuchsiastep {

Duration TransitDelays::record(const std::string &proxyId, std::uint64_t incarnation, std::uint64_t sentMs, std::uint64_t receivedMs)
{
    const auto [peer, isNew] = m_peers.try_emplace(proxyId);
    if (isNew) {
        m_order.push_back(proxyId);
    }
    if (peer->second.incarnation != incarnation) {
        peer->second = {incarnation, {}};
    }
    const Duration delay = peer->second.delay.record(sentMs, receivedMs);
    if (m_order.size() > m_maximumPeers) {
        m_peers.erase(m_order.front());
        m_order.pop_front();
    }
    return delay;
}

} // namespace Fuchsiastep

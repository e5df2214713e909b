#include <LibMembership/ProbeSchedule.h>

#include <algorithm>

namespace Fuchsiastep {

const MemberRecord *ProbeSchedule::next()
{
    if (m_order.empty()) {
        refill();
    }
    while (!m_order.empty()) {
        const MemberRecord *record = m_table.find(m_order.back());
        m_order.pop_back();
        if (record != nullptr && memberStateInfo(record->state).isLive) {
            return record;
        }
    }
    return nullptr;
}

std::vector<const MemberRecord *> ProbeSchedule::sample(std::size_t count, const std::string &excludedId)
{
    std::vector<const MemberRecord *> peers = m_table.livePeers();
    std::erase_if(peers, [&](const MemberRecord *record) { return record->proxyId == excludedId; });
    const std::size_t chosen = std::min(count, peers.size());
    for (std::size_t i = 0; i < chosen; ++i) {
        std::swap(peers[i], peers[i + m_random.below(peers.size() - i)]);
    }
    peers.resize(chosen);
    return peers;
}

void ProbeSchedule::refill()
{
    for (const MemberRecord *record : m_table.livePeers()) {
        m_order.push_back(record->proxyId);
    }
    for (std::size_t i = m_order.size(); i > 1; --i) {
        std::swap(m_order[i - 1], m_order[m_random.below(i)]);
    }
}

} // namespace Fuchsiastep

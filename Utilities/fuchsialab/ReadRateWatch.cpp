#include "ReadRateWatch.h"

#include <algorithm>

namespace Fuchsiastep {

ReadRateWatch::ReadRateWatch(FleetClient &client) : m_client(client)
{
    sample();
}

void ReadRateWatch::sample()
{
    constexpr Duration Window = std::chrono::seconds(1);
    const auto counters = m_client.platformCounters();
    if (counters.empty()) {
        return;
    }
    m_window.push_back({m_clock.now(), FleetClient::readsOf(counters)});
    if (!m_first) {
        m_first = m_window.front();
    }
    // The oldest sample stays at least a second old, so that the rate is never one of a shorter time.
    while (m_window.size() > 2 && m_window.back().at - m_window[1].at >= Window) {
        m_window.pop_front();
    }
    const double seconds = std::chrono::duration<double>(m_window.back().at - m_window.front().at).count();
    m_peak = std::max(m_peak, static_cast<double>(m_window.back().reads - m_window.front().reads) / std::max(seconds, 1.0));
}

std::uint64_t ReadRateWatch::reads() const
{
    return m_first ? m_window.back().reads - m_first->reads : 0;
}

double ReadRateWatch::meanPerSecond() const
{
    const double seconds = m_first ? std::chrono::duration<double>(m_window.back().at - m_first->at).count() : 0;
    return seconds <= 0 ? 0 : static_cast<double>(reads()) / seconds;
}

} // namespace Fuchsiastep

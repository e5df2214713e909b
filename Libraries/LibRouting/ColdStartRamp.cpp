#include <LibRouting/ColdStartRamp.h>

namespace Fuchsiastep {

ColdStartRamp::ColdStartRamp(const Settings &settings, const Clock &clock) : m_settings(settings), m_clock(clock)
{ }

double ColdStartRamp::share(const Endpoint &endpoint)
{
    const Duration ageWhenSeen = std::chrono::milliseconds(endpoint.ageMsWhenSeen);
    if (ageWhenSeen >= m_settings.length) {
        return 1;
    }
    auto start = m_starts.find(endpoint.upstreamId);
    if (start == m_starts.end() || start->second.incarnation != endpoint.incarnation) {
        if (m_starts.size() >= m_settings.maximumUpstreams) {
            return 1;
        }
        start = m_starts.insert_or_assign(endpoint.upstreamId, Start {endpoint.incarnation, m_clock.now() - ageWhenSeen}).first;
    }
    const double age = static_cast<double>((m_clock.now() - start->second.at).count()) / static_cast<double>(m_settings.length.count());
    return age >= 1 ? 1 : m_settings.initialShare + (1 - m_settings.initialShare) * age;
}

void ColdStartRamp::forget(const std::string &upstreamId)
{
    m_starts.erase(upstreamId);
}

} // namespace Fuchsiastep

#include <LibMembership/Suspicion.h>

#include <algorithm>
#include <cmath>

namespace Fuchsiastep {

Suspicion::Suspicion(const FailureDetectorSettings &settings, TimePoint now, std::size_t members)
    : m_shortest(static_cast<Duration::rep>(
        static_cast<double>(settings.suspicionUnit.count()) * std::max(1.0, std::log2(static_cast<double>(members) + 1))))
    , m_longest(m_shortest * static_cast<Duration::rep>(settings.longSuspicionFactor))
    , m_confirmationsForShortest(settings.confirmationsForShortest)
    , m_startedAt(now)
    , m_notBefore(now)
{ }

bool Suspicion::addAccuser(const std::string &accuser)
{
    // More accusers than this change nothing, and each one passed on costs gossip.
    if (m_accusers.size() > m_confirmationsForShortest) {
        return false;
    }
    return m_accusers.insert(accuser).second;
}

TimePoint Suspicion::deadline() const
{
    const std::size_t confirmations = m_accusers.empty() ? 0 : m_accusers.size() - 1;
    const double share =
        std::min(1.0, std::log2(static_cast<double>(confirmations) + 1) / std::log2(static_cast<double>(m_confirmationsForShortest) + 1));
    const auto cut = static_cast<Duration::rep>(static_cast<double>((m_longest - m_shortest).count()) * share);
    return std::max(m_startedAt + m_longest - Duration(cut), m_notBefore);
}

void Suspicion::postpone(TimePoint until)
{
    m_notBefore = until;
}

void Suspicion::restart(TimePoint now)
{
    m_startedAt = now;
    m_accusers.clear();
}

} // namespace Fuchsiastep

#include <LibRequest/ServiceTimes.h>

namespace Fuchsiastep {

void ServiceTimes::recordSuccess(const std::string &selector, Duration elapsed)
{
    m_failureShare *= 1 - m_settings.sampleWeight;
    record(selector, elapsed);
}

void ServiceTimes::recordFailure(const std::string &selector, Duration elapsed)
{
    m_failureShare += m_settings.sampleWeight * (1 - m_failureShare);
    if (elapsed > meanOf(selector)) {
        record(selector, elapsed);
    }
}

Duration ServiceTimes::meanOf(const std::string &selector) const
{
    const auto known = m_bySelector.find(selector);
    return known == m_bySelector.end() ? m_mean : known->second;
}

void ServiceTimes::record(const std::string &selector, Duration elapsed)
{
    sample(m_mean, elapsed);
    const auto known = m_bySelector.find(selector);
    if (known != m_bySelector.end()) {
        sample(known->second, elapsed);
    } else if (m_bySelector.size() < m_settings.maximumSelectors) {
        m_bySelector.emplace(selector, elapsed);
    }
}

void ServiceTimes::sample(Duration &mean, Duration value) const
{
    if (mean.count() == 0) {
        mean = value;
        return;
    }
    mean += Duration(static_cast<Duration::rep>(m_settings.sampleWeight * static_cast<double>((value - mean).count())));
}

} // namespace Fuchsiastep

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
    return known == m_bySelector.end() ? m_all.mean : known->second.mean;
}

Duration ServiceTimes::likelyOf(const std::string &selector) const
{
    const auto known = m_bySelector.find(selector);
    const Samples &samples = known == m_bySelector.end() ? m_all : known->second;
    return samples.mean + samples.deviation;
}

void ServiceTimes::record(const std::string &selector, Duration elapsed)
{
    sample(m_all, elapsed);
    const auto known = m_bySelector.find(selector);
    if (known != m_bySelector.end()) {
        sample(known->second, elapsed);
    } else if (m_bySelector.size() < m_settings.maximumSelectors) {
        m_bySelector.emplace(selector, Samples {elapsed, Duration(0)});
    }
}

void ServiceTimes::sample(Samples &samples, Duration value) const
{
    if (samples.mean.count() == 0) {
        samples.mean = value;
        return;
    }
    const Duration difference = value - samples.mean;
    samples.deviation += scaled(std::chrono::abs(difference) - samples.deviation, m_settings.sampleWeight);
    samples.mean += scaled(difference, m_settings.sampleWeight);
}

} // namespace Fuchsiastep

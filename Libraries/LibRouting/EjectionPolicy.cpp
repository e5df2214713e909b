#include <LibRouting/EjectionPolicy.h>

#include <algorithm>

namespace Fuchsiastep {

EjectionPolicy::EjectionPolicy(const Settings &settings, const Clock &clock, Random &random)
    : m_settings(settings), m_clock(clock), m_random(random)
{ }

void EjectionPolicy::setServiceSize(const std::string &service, std::size_t size)
{
    Service &entry = m_services[service];
    entry.size = size;
    dropFinished(entry);
    while (entry.ejected.size() > size / m_settings.ejectedDivisor) {
        const std::string upstreamId = entry.ejected.begin()->second;
        endEjection(entry, upstreamId, m_upstreams[upstreamId]);
    }
}

void EjectionPolicy::ensureServiceSize(const std::string &service, std::size_t size)
{
    Service &entry = m_services[service];
    entry.size = std::max(entry.size, size);
}

void EjectionPolicy::recordSuccess(const Endpoint &endpoint)
{
    Upstream &upstream = m_upstreams[endpoint.upstreamId];
    upstream.consecutiveFailures = 0;
    upstream.lastSuccess = m_clock.now();
    if (upstream.ejections > 0 && m_clock.now() - upstream.lastFailure >= m_settings.forgiveness) {
        upstream.ejections = 0;
    }
}

void EjectionPolicy::recordFailure(const Endpoint &endpoint)
{
    Upstream &upstream = m_upstreams[endpoint.upstreamId];
    upstream.lastSuccess.reset();
    upstream.lastFailure = m_clock.now();
    ++upstream.consecutiveFailures;
    if (upstream.consecutiveFailures >= m_settings.failureThreshold) {
        eject(endpoint, upstream);
    }
}

void EjectionPolicy::recordConnectionLoss(const Endpoint &endpoint)
{
    Upstream &upstream = m_upstreams[endpoint.upstreamId];
    upstream.lastSuccess.reset();
    upstream.lastFailure = m_clock.now();
    eject(endpoint, upstream);
}

void EjectionPolicy::recordHealthReport(const Endpoint &endpoint, bool isHealthy)
{
    // A good report ends no ejection: the upstream failed requests while it reported itself.
    if (isHealthy) {
        return;
    }
    Upstream &upstream = m_upstreams[endpoint.upstreamId];
    const bool hasServed = upstream.lastSuccess && m_clock.now() - *upstream.lastSuccess < m_settings.evidenceAge;
    if (!hasServed) {
        eject(endpoint, upstream);
    }
}

void EjectionPolicy::recordLeaving(const Endpoint &endpoint)
{
    Upstream &upstream = m_upstreams[endpoint.upstreamId];
    upstream.leavingUntil = m_clock.now() + m_settings.leaving;
    upstream.leavingIncarnation = endpoint.incarnation;
}

void EjectionPolicy::forget(const std::string &service, const std::string &upstreamId)
{
    const auto upstream = m_upstreams.find(upstreamId);
    if (upstream == m_upstreams.end()) {
        return;
    }
    m_services[service].ejected.erase({upstream->second.ejectedUntil, upstreamId});
    m_upstreams.erase(upstream);
}

bool EjectionPolicy::isEjected(const Endpoint &endpoint) const
{
    const auto upstream = m_upstreams.find(endpoint.upstreamId);
    if (upstream == m_upstreams.end()) {
        return false;
    }
    const bool isLeaving = upstream->second.leavingIncarnation == endpoint.incarnation && upstream->second.leavingUntil > m_clock.now();
    return isLeaving || upstream->second.ejectedUntil > m_clock.now();
}

std::size_t EjectionPolicy::ejectedCount(const std::string &service) const
{
    const auto entry = m_services.find(service);
    if (entry == m_services.end()) {
        return 0;
    }
    const auto &ejected = entry->second.ejected;
    return static_cast<std::size_t>(
        std::count_if(ejected.begin(), ejected.end(), [&](const auto &item) { return item.first > m_clock.now(); }));
}

void EjectionPolicy::eject(const Endpoint &endpoint, Upstream &upstream)
{
    if (upstream.ejectedUntil > m_clock.now()) {
        return;
    }
    Service &service = m_services[endpoint.service];
    dropFinished(service);
    if ((service.ejected.size() + 1) * m_settings.ejectedDivisor > service.size) {
        return;
    }
    Duration duration = m_settings.firstEjection;
    for (std::uint32_t count = 0; count < upstream.ejections && duration < m_settings.longestEjection; ++count) {
        duration *= 2;
    }
    duration = std::min(duration, m_settings.longestEjection);
    duration += m_random.jitter(scaled(duration, m_settings.jitterShare));
    ++upstream.ejections;
    upstream.consecutiveFailures = 0;
    upstream.ejectedUntil = m_clock.now() + duration;
    service.ejected.emplace(upstream.ejectedUntil, endpoint.upstreamId);
}

void EjectionPolicy::endEjection(Service &service, const std::string &upstreamId, Upstream &upstream)
{
    service.ejected.erase({upstream.ejectedUntil, upstreamId});
    upstream.ejectedUntil = m_clock.now();
}

void EjectionPolicy::dropFinished(Service &service) const
{
    while (!service.ejected.empty() && service.ejected.begin()->first <= m_clock.now()) {
        service.ejected.erase(service.ejected.begin());
    }
}

} // namespace Fuchsiastep

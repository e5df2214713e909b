#include <LibRouting/LoadEstimate.h>

#include <algorithm>
#include <cmath>

namespace Fuchsiastep {

LoadEstimate::LoadEstimate(const Settings &settings, const Clock &clock) : m_settings(settings), m_clock(clock)
{ }

void LoadEstimate::recordStart(const std::string &upstreamId)
{
    ++m_upstreams[upstreamId].inFlight;
}

void LoadEstimate::recordEnd(const std::string &upstreamId)
{
    const auto upstream = m_upstreams.find(upstreamId);
    if (upstream != m_upstreams.end() && upstream->second.inFlight > 0) {
        --upstream->second.inFlight;
    }
}

void LoadEstimate::recordReport(const std::string &upstreamId, const LoadReport &report)
{
    Upstream &upstream = m_upstreams[upstreamId];
    const double limit = m_settings.maximumReportedSlots * std::max(1U, report.slots);
    const double counted = static_cast<double>(report.slotsInUse) + report.queued - upstream.inFlight;
    const double selfReported = m_settings.selfReportWeight * report.slots * std::min(1000U, report.reportedPermille) / 1000;
    upstream.reportedByOthers = std::clamp(counted, 0.0, limit) + selfReported;
    const double weight = upstream.hasReport ? m_settings.reportWeight : 1;
    upstream.meanByOthers += weight * (upstream.reportedByOthers - upstream.meanByOthers);
    upstream.hasReport = true;
    upstream.reportedAt = m_clock.now();
    if (report.serviceMs > 0) {
        upstream.serviceTime = std::chrono::milliseconds(report.serviceMs);
    }
    upstream.transfer = std::chrono::milliseconds(report.transferMs);
    upstream.meanTransfer += scaled(upstream.transfer - upstream.meanTransfer, weight);
    constexpr double PermilleOfAll = 1000;
    upstream.failureShare = std::min(1.0, report.failurePermille / PermilleOfAll);
}

void LoadEstimate::forget(const std::string &upstreamId)
{
    m_upstreams.erase(upstreamId);
}

std::uint32_t LoadEstimate::inFlight(const std::string &upstreamId) const
{
    const auto upstream = m_upstreams.find(upstreamId);
    return upstream == m_upstreams.end() ? 0 : upstream->second.inFlight;
}

double LoadEstimate::load(const Endpoint &endpoint) const
{
    const auto found = m_upstreams.find(endpoint.upstreamId);
    if (found == m_upstreams.end()) {
        return 0;
    }
    const Upstream &upstream = found->second;
    return (upstream.inFlight + workOfOthers(upstream)) / std::max(1U, endpoint.slots);
}

double LoadEstimate::workOfOthers(const Upstream &upstream) const
{
    if (!upstream.hasReport) {
        return 0;
    }
    const Duration age = m_clock.now() - upstream.reportedAt;
    const double lasting = upstream.meanByOthers * weightAfter(age, m_settings.speedHalfLife);
    return lasting + (upstream.reportedByOthers - upstream.meanByOthers) * weightAfter(age, m_settings.halfLife);
}

double LoadEstimate::weightAfter(Duration age, Duration halfLife)
{
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

std::optional<LoadEstimate::ServiceTime> LoadEstimate::serviceTime(const std::string &upstreamId) const
{
    const auto found = m_upstreams.find(upstreamId);
    if (found == m_upstreams.end() || !found->second.serviceTime) {
        return std::nullopt;
    }
    return ServiceTime {*found->second.serviceTime, weightAfter(m_clock.now() - found->second.reportedAt, m_settings.speedHalfLife)};
}

LoadEstimate::Expectation LoadEstimate::expectation(const Endpoint &endpoint, Duration typicalService) const
{
    Expectation expected;
    expected.service = typicalService;
    const auto found = m_upstreams.find(endpoint.upstreamId);
    if (found == m_upstreams.end()) {
        return expected;
    }
    const double weight = weightAfter(m_clock.now() - found->second.reportedAt, m_settings.speedHalfLife);
    expected.failureShare = found->second.failureShare * weight;
    if (found->second.serviceTime) {
        expected.service = typicalService + scaled(*found->second.serviceTime - typicalService, weight);
    }
    const Duration age = m_clock.now() - found->second.reportedAt;
    expected.transfer = scaled(found->second.meanTransfer, weight)
        + scaled(found->second.transfer - found->second.meanTransfer, weightAfter(age, m_settings.halfLife));
    const double slots = std::max(1U, endpoint.slots);
    const double ahead = std::max(0.0, load(endpoint) * slots + 1 - slots);
    expected.wait = Duration(static_cast<Duration::rep>(ahead * static_cast<double>(expected.service.count()) / slots));
    return expected;
}

bool LoadEstimate::isFull(const Endpoint &endpoint, double share) const
{
    return load(endpoint) >= m_settings.fullSlots * share;
}

} // namespace Fuchsiastep

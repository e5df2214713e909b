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
    upstream.reportedAt = m_clock.now();
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
    double requests = upstream.inFlight;
    if (upstream.reportedByOthers > 0) {
        const double halves =
            static_cast<double>((m_clock.now() - upstream.reportedAt).count()) / static_cast<double>(m_settings.halfLife.count());
        requests += upstream.reportedByOthers * std::exp2(-halves);
    }
    return requests / std::max(1U, endpoint.slots);
}

bool LoadEstimate::isFull(const Endpoint &endpoint, double share) const
{
    return load(endpoint) >= m_settings.fullSlots * share;
}

} // namespace Fuchsiastep

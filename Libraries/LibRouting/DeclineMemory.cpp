#include <LibRouting/DeclineMemory.h>

#include <algorithm>

namespace Fuchsiastep {

DeclineMemory::DeclineMemory(const Settings &settings, const Clock &clock, Random &random)
    : m_settings(settings), m_clock(clock), m_random(random)
{ }

void DeclineMemory::setProxyCount(std::size_t count)
{
    m_proxyCount = std::max<std::size_t>(count, 1);
}

void DeclineMemory::recordDecline(const std::string &upstreamId, const std::string &selector, Duration timeLeft, const LoadReport &report)
{
    if (report.slots == 0 || report.serviceMs == 0) {
        return;
    }
    std::map<std::string, Decline> &declines = m_declines[upstreamId];
    const TimePoint now = m_clock.now();
    std::erase_if(declines, [&](const auto &entry) { return entry.second.at + m_settings.rowTime <= now; });
    Decline &decline = declines[selector];
    const bool isHeldOffForLonger = now < decline.until && decline.timeLeft > timeLeft;
    if (isHeldOffForLonger) {
        // What was declined with more time is declined with less.
        return;
    }
    decline.at = now;
    decline.timeLeft = timeLeft;
    if (++decline.inRow < m_settings.declinesInRow) {
        return;
    }
    // The proxies together make offersPerRun offers in the time in which the upstream ends one run.
    const Duration timePerRun = std::chrono::milliseconds(report.serviceMs) / report.slots;
    const Duration fairTime = scaled(timePerRun, static_cast<double>(m_proxyCount) / m_settings.offersPerRun);
    const Duration hold = std::min(fairTime, scaled(timeLeft, m_settings.maximumTargetShare));
    const double factor = 1 - m_settings.spread + 2 * m_settings.spread * m_random.unit();
    decline.until = now + scaled(hold, factor);
}

void DeclineMemory::recordReport(const std::string &upstreamId, const LoadReport &report)
{
    if (report.slotsInUse < report.slots && report.queued == 0) {
        m_declines.erase(upstreamId);
    }
}

void DeclineMemory::forget(const std::string &upstreamId)
{
    m_declines.erase(upstreamId);
}

bool DeclineMemory::isEmpty() const
{
    return m_declines.empty();
}

bool DeclineMemory::isHeldOff(const std::string &upstreamId, const std::string &selector, Duration timeLeft) const
{
    const auto upstream = m_declines.find(upstreamId);
    if (upstream == m_declines.end()) {
        return false;
    }
    const auto decline = upstream->second.find(selector);
    return decline != upstream->second.end() && m_clock.now() < decline->second.until
        && timeLeft <= scaled(decline->second.timeLeft, m_settings.timeTolerance);
}

} // namespace Fuchsiastep

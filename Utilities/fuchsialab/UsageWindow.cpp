#include "UsageWindow.h"

#include "Figures.h"

namespace Fuchsiastep {

UsageWindow::UsageWindow(const Fleet &fleet, FleetClient &client) : m_client(client), m_proxies(fleet.running())
{
    m_before = m_client.statuses(m_proxies);
    m_openedAt = m_clock.now();
}

void UsageWindow::close()
{
    m_closedAt = m_clock.now();
    m_after = m_client.statuses(m_proxies);
}

static Figures differences(
    const FleetClient::Statuses &before, const FleetClient::Statuses &after, std::uint64_t ProxyStatus::*member, double divisor)
{
    Figures figures;
    for (const auto &[index, status] : after) {
        const auto first = before.find(index);
        if (status && first != before.end() && first->second) {
            figures.add(static_cast<double>((*status).*member - (*first->second).*member) / divisor);
        }
    }
    return figures;
}

void UsageWindow::addTo(Report &report, const std::string &prefix) const
{
    constexpr double BytesPerMebibyte = 1024 * 1024;
    constexpr double PercentPerMsPerSecond = 0.1;
    const double seconds = std::chrono::duration<double>(m_closedAt - m_openedAt).count();
    const Figures bytes = differences(m_before, m_after, &ProxyStatus::controlBytesSent, seconds);
    const Figures messages = differences(m_before, m_after, &ProxyStatus::controlMessagesSent, seconds);
    const Figures processor = differences(m_before, m_after, &ProxyStatus::processorMs, seconds / PercentPerMsPerSecond);
    Figures memory;
    for (const auto &[index, status] : m_after) {
        if (status) {
            memory.add(static_cast<double>(status->residentBytes) / BytesPerMebibyte);
        }
    }
    report.add(prefix + ": control bytes, mean proxy", bytes.mean(), "B/s");
    report.add(prefix + ": control bytes, busiest proxy", bytes.maximum(), "B/s");
    report.add(prefix + ": control messages, mean proxy", messages.mean(), "1/s");
    report.add(prefix + ": processor time, mean proxy", processor.mean(), "% of a core");
    report.add(prefix + ": processor time, busiest proxy", processor.maximum(), "% of a core");
    report.add(prefix + ": resident memory, mean proxy", memory.mean(), "MiB");
    report.add(prefix + ": resident memory, largest proxy", memory.maximum(), "MiB");
}

double UsageWindow::bytesPerProxy() const
{
    return differences(m_before, m_after, &ProxyStatus::controlBytesSent, 1).mean();
}

} // namespace Fuchsiastep

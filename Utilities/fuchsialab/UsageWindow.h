#pragma once

#include "Report.h"

#include <LibLab/LibLab.h>

namespace Fuchsiastep {

/// What the proxies of a fleet used between two points in time.
class UsageWindow
{
public:
    /// Takes the first sample of the proxies that run.
    UsageWindow(const Fleet &fleet, FleetClient &client);

    /// Takes the second sample.
    void close();
    /// Adds control bytes, processor time and memory for each proxy to \a report.
    void addTo(Report &report, const std::string &prefix) const;
    /// Mean control bytes that a proxy sent.
    double bytesPerProxy() const;

private:
    FleetClient &m_client;
    Clock m_clock = Clock::system();
    Fleet::Indices m_proxies;
    TimePoint m_openedAt;
    TimePoint m_closedAt;
    FleetClient::Statuses m_before;
    FleetClient::Statuses m_after;
};

} // namespace Fuchsiastep

#include <LibRouting/RetryBudgets.h>

#include <algorithm>

namespace Fuchsiastep {

RetryBudgets::RetryBudgets(const Settings &settings, const Clock &clock) : m_settings(settings), m_clock(clock)
{ }

void RetryBudgets::setProxyCount(std::size_t count)
{
    m_proxyCount = std::max<std::size_t>(count, 1);
    applyShares();
}

void RetryBudgets::setFleetBudget(const std::optional<FleetBudget> &fleet)
{
    m_settings.fleet = fleet;
    applyShares();
}

void RetryBudgets::applyShares()
{
    for (auto &[service, budget] : m_budgets) {
        budget.setSettings(shareSettings());
    }
}

void RetryBudgets::recordFirstTry(const std::string &service)
{
    budgetOf(service).recordFirstTry();
}

bool RetryBudgets::take(const std::string &service, bool mayHaveRun)
{
    constexpr double RepeatedRunCost = 2;
    return budgetOf(service).take(mayHaveRun && m_settings.fleet ? RepeatedRunCost : 1);
}

RetryBudget &RetryBudgets::budgetOf(const std::string &service)
{
    const auto known = m_budgets.find(service);
    return known != m_budgets.end() ? known->second : m_budgets.emplace(service, RetryBudget(shareSettings(), m_clock)).first->second;
}

RetryBudget::Settings RetryBudgets::shareSettings() const
{
    if (!m_settings.fleet) {
        return m_settings.local;
    }
    const RetryBudgets::FleetBudget &fleet = *m_settings.fleet;
    const double slackOfProxy = m_settings.usedShare * fleet.slack / static_cast<double>(m_proxyCount);
    RetryBudget::Settings share;
    share.share = m_settings.usedShare * fleet.ratio;
    share.floorPerSecond = slackOfProxy / std::chrono::duration<double>(fleet.window).count();
    // What is saved can be spent at once on top of what the window earns, so it is at most what one window earns.
    share.window = fleet.window;
    share.capacity = std::max(1.0, slackOfProxy);
    return share;
}

} // namespace Fuchsiastep

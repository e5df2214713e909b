#pragma once

#include <LibRouting/RetryBudget.h>

#include <optional>
#include <string>
#include <unordered_map>

namespace Fuchsiastep {

/// A retry budget for each service. Where the budget is one of the whole fleet, each proxy takes its part of it: the
/// ratio applies to its own first tries, and the slack is divided among the live proxies.
class RetryBudgets
{
public:
    /// Retries that a service may get from all proxies together.
    struct FleetBudget
    {
        /// Retries for each first try.
        double ratio = 0.2;
        /// Retries beside those in each window.
        double slack = 0;
        Duration window = std::chrono::seconds(10);
    };
    struct Settings
    {
        /// Without a fleet's budget.
        RetryBudget::Settings local;
        std::optional<FleetBudget> fleet;
        /// Share of the fleet's budget that each window earns. As much may be saved from the window before. The rest covers
        /// retries that this proxy does not see, such as the calls that a repeated run makes again, and proxies with an old
        /// view of the fleet's size.
        double usedShare = 0.4;
    };

    RetryBudgets(const Settings &settings, const Clock &clock);

    /// Live proxies, this one included. Budgets keep what they have saved.
    void setProxyCount(std::size_t count);
    void setFleetBudget(const std::optional<FleetBudget> &fleet);
    void recordFirstTry(const std::string &service);
    /// Takes one retry. A run that is repeated may make its own calls again, which the budgets of other services do not
    /// see, so it costs a fleet's budget twice as much as a retry of what did not run. False where the budget is used up.
    bool take(const std::string &service, bool mayHaveRun);

private:
    void applyShares();
    RetryBudget &budgetOf(const std::string &service);
    RetryBudget::Settings shareSettings() const;

    Settings m_settings;
    const Clock &m_clock;
    std::size_t m_proxyCount = 1;
    std::unordered_map<std::string, RetryBudget> m_budgets;
};

} // namespace Fuchsiastep

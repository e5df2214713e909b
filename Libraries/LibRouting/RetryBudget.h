#pragma once

#include <LibCore/LibCore.h>

namespace Fuchsiastep {

/// Bounds retries to a share of first tries plus a small floor, so that an outage is not multiplied by them.
class RetryBudget
{
public:
    struct Settings
    {
        /// Retries earned by each first try.
        double share = 0.2;
        /// Retries earned by each second, so that a proxy with little traffic can retry.
        double floorPerSecond = 3;
        /// Retries saved up at most, beside those that the first tries of the last window have earned.
        double capacity = 100;
        /// What first tries have earned can be saved for this long; 0 for not beyond \a capacity.
        Duration window {0};
    };

    RetryBudget(const Settings &settings, const Clock &clock);

    /// Keeps what was saved, up to the new capacity.
    void setSettings(const Settings &settings);
    void recordFirstTry();
    /// Takes a retry of the given cost; one that costs more than is saved leaves a debt. False where the budget is used up.
    bool take(double cost = 1);

private:
    void addFloor();
    void rollWindow();
    double capacity() const;

    Settings m_settings;
    const Clock &m_clock;
    double m_tokens;
    TimePoint m_addedAt;
    /// Earned by first tries in the current window and in the one before.
    double m_earned = 0;
    double m_earnedBefore = 0;
    TimePoint m_windowBegin;
};

} // namespace Fuchsiastep

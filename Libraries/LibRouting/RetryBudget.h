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
        /// Retries saved up at most.
        double capacity = 100;
    };

    RetryBudget(const Settings &settings, const Clock &clock);

    /// Keeps what was saved, up to the new capacity.
    void setSettings(const Settings &settings);
    void recordFirstTry();
    /// Takes one retry. False where the budget is used up.
    bool take();

private:
    void addFloor();

    Settings m_settings;
    const Clock &m_clock;
    double m_tokens;
    TimePoint m_addedAt;
};

} // namespace Fuchsiastep

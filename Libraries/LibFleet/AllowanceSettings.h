#pragma once

#include <LibCore/Clock.h>

#include <algorithm>
#include <cstddef>

namespace Fuchsiastep {

/// A quota over all instances: in any window, at most (rate x window + burst) x (1 + overage) + slack requests run.
struct AllowanceSettings
{
    Duration window = std::chrono::seconds(5);
    double overage = 0.1;
    std::uint64_t slack = 20;
    /// All of the deployment, also those that are not reached. Each has an equal share of a quota.
    std::size_t dataCentres = 1;

    /// How long a token may be used after it was granted. Tokens that were granted just before a window and are used in it
    /// come on top of the quota; the overage has room for those of this time.
    Duration tokenLifetime() const
    {
        constexpr Duration Longest = std::chrono::seconds(1);
        constexpr Duration Shortest = std::chrono::milliseconds(100);
        return std::clamp(scaled(window, overage), Shortest, Longest);
    }
    /// Time between two reports of a member, so that tokens are replaced before they end.
    Duration reportPeriod() const
    {
        return tokenLifetime() / 2;
    }
};

/// The part of a quota that one data centre has.
struct AllowanceLimit
{
    double requestsPerSecond = 0;
    double burst = 0;

    /// Tokens that are kept for later. At least those of one report, and one.
    double capacity(Duration reportPeriod) const
    {
        const double ofOnePeriod = requestsPerSecond * std::chrono::duration<double>(reportPeriod).count();
        return std::max({1.0, burst, ofOnePeriod});
    }
};

} // namespace Fuchsiastep

#pragma once

#include <LibRouting/ColdStartRamp.h>
#include <LibRouting/CrashSuspects.h>
#include <LibRouting/DeclineMemory.h>
#include <LibRouting/EjectionPolicy.h>
#include <LibRouting/LoadEstimate.h>
#include <LibRouting/RetryBudgets.h>

namespace Fuchsiastep {

/// Everything that a proxy remembers about upstreams for routing. One per proxy, shared by the selector, the
/// caller side and the upstream side.
struct RoutingState
{
    struct Settings
    {
        LoadEstimate::Settings load;
        DeclineMemory::Settings declines;
        EjectionPolicy::Settings ejections;
        ColdStartRamp::Settings ramp;
        RetryBudgets::Settings retries;
        CrashSuspects::Settings suspects;
    };

    RoutingState(const Settings &settings, const Clock &clock, Random &random);

    /// Proxies that route requests to the same upstreams, this one included.
    void setProxyCount(std::size_t count);
    /// The proxy beside the upstream told its load.
    void recordReport(const std::string &upstreamId, const LoadReport &report);
    /// The upstream has left; its service has \a remaining upstreams.
    void forget(const std::string &service, const std::string &upstreamId, std::size_t remaining);

    LoadEstimate load;
    DeclineMemory declines;
    EjectionPolicy ejections;
    ColdStartRamp ramp;
    RetryBudgets retries;
    CrashSuspects suspects;
};

} // namespace Fuchsiastep

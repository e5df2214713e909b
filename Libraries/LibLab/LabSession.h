#pragma once

#include <LibLab/FleetClient.h>

namespace Fuchsiastep {

/// A running fleet with declarations in force.
struct LabSession
{
    LabSession(DeploymentPlan plan, FleetOptions options) : fleet(std::move(plan), std::move(options)), client(fleet)
    { }

    /// Starts the fleet, waits until it is ready, declares open routes and waits until they and every upstream are
    /// known everywhere. Fails with WaitTimeout or the error of a start.
    Result<Done> tryOpen();
    /// Fails with WaitTimeout where not every running proxy shows \a endpoints upstreams in time.
    Result<Done> tryAwaitEndpoints(std::size_t endpoints);
    /// The longest time from \a change to a proxy's adoption, in milliseconds. Every running proxy holds its version.
    double convergenceMs(const AcceptedChange &change);

    Fleet fleet;
    FleetClient client;
    std::uint64_t version = 0;
};

} // namespace Fuchsiastep

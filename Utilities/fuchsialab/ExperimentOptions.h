#pragma once

#include <LibLab/LibLab.h>

namespace Fuchsiastep {

/// What the command line says of an experiment.
struct ExperimentOptions
{
    DeploymentPlan plan;
    /// Folder of the programs.
    std::string programFolder;
    /// 0 for one beside each upstream of the plan.
    std::size_t proxies = 0;
    std::uint64_t seed = 1;
    /// Kinds of requests of the experiment "load", as fuchsiaload reads them.
    std::string mix;
    std::string caller;
    std::uint32_t requests = 0;
    std::uint32_t concurrency = 0;

    FleetOptions fleetOptions() const
    {
        return {programFolder, proxies, true, false, seed};
    }
};

} // namespace Fuchsiastep

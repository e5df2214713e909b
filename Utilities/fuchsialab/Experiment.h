#pragma once

#include "ExperimentOptions.h"
#include "Report.h"

#include <LibCore/Result.h>

#include <span>
#include <string_view>

namespace Fuchsiastep {

/// One row of the table of experiments.
struct Experiment
{
    std::string_view name;
    std::string_view summary;
    Result<Report> (*tryRun)(const ExperimentOptions &options);
};

std::span<const Experiment> experimentTable();

/// Time to accepted and held changes, and control bytes, of the real system.
Result<Report> tryRunConvergence(const ExperimentOptions &options);
/// The same with a poller in place of each proxy.
Result<Report> tryRunNaive(const ExperimentOptions &options);
/// Outcomes and latency under load.
Result<Report> tryRunLoad(const ExperimentOptions &options);
/// The path through two proxies against the upstream alone.
Result<Report> tryRunDirect(const ExperimentOptions &options);
/// Platform reads by the number of proxies.
Result<Report> tryRunReaders(const ExperimentOptions &options);

} // namespace Fuchsiastep

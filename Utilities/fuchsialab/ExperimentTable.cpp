#include "Experiment.h"

#include <array>

namespace Fuchsiastep {

std::span<const Experiment> experimentTable()
{
    static constexpr std::array<Experiment, 5> Table {{
        {"convergence", "convergence time and control bytes: quiet, changes, burst, churn, herd", tryRunConvergence},
        {"naive", "the same where every proxy polls the platform and takes the whole", tryRunNaive},
        {"load", "outcomes and latency of a mix of requests", tryRunLoad},
        {"direct", "the path through two proxies against the upstream alone", tryRunDirect},
        {"readers", "platform reads a second at 14, 50, 100 and 200 proxies", tryRunReaders},
    }};
    return Table;
}

} // namespace Fuchsiastep

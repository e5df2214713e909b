#include "Experiment.h"
#include "ReadRateWatch.h"

namespace Fuchsiastep {

static constexpr Duration QuietSpell = std::chrono::seconds(10);

static Result<Done> tryMeasure(const ExperimentOptions &options, std::size_t proxies, Report &report)
{
    LabSession lab(options.plan, {options.programFolder, proxies, false, false, options.seed});
    Result<Done> opened = lab.tryOpen();
    if (isError(opened)) {
        return opened;
    }
    ReadRateWatch reads(lab.client);
    runLoopUntil([] { return false; }, QuietSpell);
    reads.sample();
    report.add(std::to_string(proxies) + " proxies: platform reads", reads.meanPerSecond(), "1/s");
    return Done {};
}

Result<Report> tryRunReaders(const ExperimentOptions &options)
{
    Report report;
    std::vector<std::size_t> sizes {14, 50, 100, 200};
    if (options.proxies > 0) {
        sizes = {options.proxies};
    }
    for (const std::size_t proxies : sizes) {
        const Result<Done> done = tryMeasure(options, proxies, report);
        if (isError(done)) {
            return errorOf(done);
        }
    }
    return report;
}

} // namespace Fuchsiastep

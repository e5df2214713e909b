#include "Experiment.h"
#include "Figures.h"
#include "LoadRun.h"

namespace Fuchsiastep {

namespace {

constexpr int Rounds = 5;
constexpr double MicrosecondsPerMs = 1000;

/// Figures of one way to the upstream at one concurrency, in milliseconds, one value a round.
struct Way
{
    Figures median;
    Figures percentile99;
    Figures answered;
};

Result<Done> tryRound(
    const ExperimentOptions &options, const std::string &target, std::uint32_t concurrency, std::vector<std::string> extra, Way &way)
{
    std::vector<std::string> arguments {"--targets=http://" + target,
        "--service=" + options.plan.services.front().name,
        "--caller=" + options.caller,
        "--requests=" + std::to_string(options.requests),
        "--warmup=" + std::to_string(concurrency + options.requests / 10),
        "--concurrency=" + std::to_string(concurrency),
        "--deadline-ms=5000",
        "--seed=" + std::to_string(options.seed)};
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    const Result<JsonValue> load = tryRunLoadGenerator(options.programFolder, std::move(arguments));
    if (isError(load)) {
        return errorOf(load);
    }
    way.median.add(numberAt(valueOf(load), {"latency_us", "all", "p50"}) / MicrosecondsPerMs);
    way.percentile99.add(numberAt(valueOf(load), {"latency_us", "all", "p99"}) / MicrosecondsPerMs);
    way.answered.add(numberAt(valueOf(load), {"answered_percent"}));
    return Done {};
}

void addComparison(Report &report, const std::string &name, double direct, double path)
{
    report.add(name + " direct", direct, "ms");
    report.add(name + " through the path", path, "ms");
    report.add(name + " difference", path - direct, "ms");
    report.add(name + " ratio", direct > 0 ? path / direct : 0, "");
}

/// One upstream with its proxy, and one proxy without an upstream in the same data centre, which callers ask.
DeploymentPlan reducedPlan(const DeploymentPlan &plan)
{
    DeploymentPlan reduced = plan;
    reduced.dataCentres.resize(1);
    reduced.services.resize(1);
    reduced.services.front().upstreams = 1;
    return reduced;
}

} // namespace

Result<Report> tryRunDirect(const ExperimentOptions &options)
{
    FleetOptions fleetOptions = options.fleetOptions();
    fleetOptions.proxies = 2;
    LabSession lab(reducedPlan(options.plan), fleetOptions);
    const Result<Done> opened = lab.tryOpen();
    if (isError(opened)) {
        return errorOf(opened);
    }
    const std::string upstream = lab.fleet.at(0).upstreamAddress.toString();
    const std::string callerSide = lab.fleet.at(1).callers.toString();
    Report report;
    for (const std::uint32_t concurrency : {1U, 6U, 60U}) {
        Way direct;
        Way path;
        // The two ways alternate, so that a change of the machine's load meets both.
        for (int round = 0; round < Rounds; ++round) {
            for (const bool isDirect : {true, false}) {
                const Result<Done> done = isDirect ? tryRound(options, upstream, concurrency, {"--direct"}, direct)
                                                   : tryRound(options, callerSide, concurrency, {}, path);
                if (isError(done)) {
                    return errorOf(done);
                }
            }
        }
        const std::string name = std::to_string(concurrency) + " at once: ";
        addComparison(report, name + "p50", direct.median.median(), path.median.median());
        addComparison(report, name + "p99", direct.percentile99.median(), path.percentile99.median());
        report.add(name + "answered direct", direct.answered.mean(), "%");
        report.add(name + "answered through the path", path.answered.mean(), "%");
    }
    return report;
}

} // namespace Fuchsiastep

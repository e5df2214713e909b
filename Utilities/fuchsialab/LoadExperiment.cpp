#include "Experiment.h"
#include "LoadRun.h"
#include "UsageWindow.h"

namespace Fuchsiastep {

static void addLoad(Report &report, const JsonValue &load)
{
    for (const char *outcome : {"answered", "not-run", "unknown"}) {
        report.add(std::string("outcome ") + outcome, numberAt(load, {"outcomes", outcome}), "requests");
    }
    report.add("bad answers", numberAt(load, {"bad_answers"}), "requests");
    report.add("throughput", numberAt(load, {"requests_per_second"}), "1/s");
    const auto *object = std::get_if<JsonValue::Object>(&load.content);
    const auto latencies = object != nullptr ? object->find("latency_us") : JsonValue::Object::const_iterator();
    if (object == nullptr || latencies == object->end()) {
        return;
    }
    for (const auto &[kind, values] : std::get<JsonValue::Object>(latencies->second.content)) {
        for (const char *share : {"p50", "p99", "max"}) {
            constexpr double MicrosecondsPerMs = 1000;
            report.add("latency " + kind + ' ' + share, numberAt(values, {share}) / MicrosecondsPerMs, "ms");
        }
    }
}

Result<Report> tryRunLoad(const ExperimentOptions &options)
{
    LabSession lab(options.plan, options.fleetOptions());
    const Result<Done> opened = lab.tryOpen();
    if (isError(opened)) {
        return errorOf(opened);
    }
    std::string targets;
    for (const std::size_t index : lab.fleet.all()) {
        targets += (targets.empty() ? "http://" : ",http://") + lab.fleet.at(index).callers.toString();
    }
    UsageWindow usage(lab.fleet, lab.client);
    const Result<JsonValue> load = tryRunLoadGenerator(options.programFolder,
        {"--targets=" + targets,
            "--service=" + options.plan.services.front().name,
            "--caller=" + options.caller,
            "--mix=" + options.mix,
            "--requests=" + std::to_string(options.requests),
            "--concurrency=" + std::to_string(options.concurrency),
            "--deadline-ms=5000",
            "--seed=" + std::to_string(options.seed)});
    usage.close();
    if (isError(load)) {
        return errorOf(load);
    }
    Report report;
    addLoad(report, valueOf(load));
    usage.addTo(report, "load");
    return report;
}

} // namespace Fuchsiastep

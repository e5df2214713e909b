#include "Experiment.h"
#include "Serve.h"

#include <LibCore/FlagNames.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <filesystem>
#include <iostream>

ABSL_FLAG(std::string, plan, "", "deployment to emulate, such as Base/cork/deployment.json");
ABSL_FLAG(std::string, experiment, "", "convergence, naive, load, direct or readers");
ABSL_FLAG(bool, json, false, "report in JSON");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the platform, the upstreams and the load");
ABSL_FLAG(std::size_t, proxies, 0, "number of proxies; those beyond the plan have no upstream; 0 is the plan's number");
ABSL_FLAG(std::string, mix, "lookup=70,order=20,repeat-order=5,document=5", "load: kinds of requests and their weights");
ABSL_FLAG(std::string, caller, "fuchsialab", "load, direct: name of the caller");
ABSL_FLAG(std::uint32_t, requests, 2000, "load, direct: requests to send in each run");
ABSL_FLAG(std::uint32_t, concurrency, 32, "load: requests in flight at once");

using namespace Fuchsiastep;

static constexpr int ExitUsage = 2;
static constexpr std::size_t MaximumProxies = 200;

static int fail(const Error &error, int status)
{
    std::cerr << "fuchsialab: " << describe(error) << '\n';
    return status;
}

static int runExperiment(const ExperimentOptions &options)
{
    const std::span<const Experiment> table = experimentTable();
    const auto found =
        std::find_if(table.begin(), table.end(), [](const Experiment &item) { return item.name == absl::GetFlag(FLAGS_experiment); });
    if (found == table.end()) {
        return fail({ErrorCode::CommandLineInvalid, "--experiment: no such experiment"}, ExitUsage);
    }
    const Result<Report> report = found->tryRun(options);
    if (isError(report)) {
        return fail(errorOf(report), 1);
    }
    std::cout << (absl::GetFlag(FLAGS_json) ? valueOf(report).toJson().toText() + '\n' : valueOf(report).toText());
    return 0;
}

/// Exit codes: 0 the experiment ran, 1 it failed, 2 the command line or the plan is not valid.
int main(int argc, char **argv)
{
    normalizeFlagNames(argc, argv);
    std::string usage = "fuchsialab run --plan FILE --experiment NAME, or fuchsialab serve --plan FILE\n";
    for (const Experiment &experiment : experimentTable()) {
        usage += "  " + std::string(experiment.name) + ": " + std::string(experiment.summary) + '\n';
    }
    absl::SetProgramUsageMessage(usage);
    const std::vector<char *> words = absl::ParseCommandLine(argc, argv);
    const std::string verb = words.size() == 2 ? words[1] : "";
    if ((verb != "run" && verb != "serve") || absl::GetFlag(FLAGS_proxies) > MaximumProxies) {
        return fail({ErrorCode::CommandLineInvalid, "expected run or serve, and at most 200 proxies; see --help"}, ExitUsage);
    }
    const Result<DeploymentPlan> plan = DeploymentPlan::tryLoad(absl::GetFlag(FLAGS_plan));
    if (isError(plan)) {
        return fail(errorOf(plan), ExitUsage);
    }
    const ExperimentOptions options {valueOf(plan),
        std::filesystem::read_symlink("/proc/self/exe").parent_path().string(),
        absl::GetFlag(FLAGS_proxies),
        absl::GetFlag(FLAGS_seed),
        absl::GetFlag(FLAGS_mix),
        absl::GetFlag(FLAGS_caller),
        absl::GetFlag(FLAGS_requests),
        absl::GetFlag(FLAGS_concurrency)};
    if (verb == "run") {
        return runExperiment(options);
    }
    const Result<Done> served = tryServe(options);
    return isError(served) ? fail(errorOf(served), 1) : 0;
}

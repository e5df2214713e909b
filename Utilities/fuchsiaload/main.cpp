#include "LoadRunner.h"

#include <LibCore/LibCore.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, targets, "", "base URLs of proxies, or of upstreams with --direct: http://IP:PORT[,...]");
ABSL_FLAG(std::string, service, "order-desk", "service to call");
ABSL_FLAG(std::string, caller, "fuchsiaload", "content of the header fuchsiastep-caller");
ABSL_FLAG(std::uint64_t, requests, 1000, "requests to send; 0 leaves the bound to --duration-s");
ABSL_FLAG(std::uint32_t, concurrency, 8, "requests in flight at once");
ABSL_FLAG(double, rate, 0, "requests per second in an open loop; 0 is a closed loop");
ABSL_FLAG(double, duration_s, 0, "seconds after which no request is sent; 0 leaves the bound to --requests");
ABSL_FLAG(std::string, mix, "lookup", "kinds and weights: lookup=70,order=20,repeat-order=5,document=5");
ABSL_FLAG(std::uint32_t, document_bytes, 65536, "size of the answer to a document request");
ABSL_FLAG(std::uint32_t, deadline_ms, 1000, "deadline of each request");
ABSL_FLAG(bool, direct, false, "send straight to upstreams, without /v1/call/<service>");
ABSL_FLAG(std::uint64_t, warmup, 0, "requests sent first and left out of the report");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the kinds and targets");
ABSL_FLAG(bool, json, false, "report in JSON");
ABSL_FLAG(double, require_answered, 0, "percentage that must be answered for exit code 0");

using namespace Fuchsiastep;

static constexpr std::uint64_t MaximumRequests = 10'000'000;
static constexpr double MaximumSeconds = 3600;
static constexpr std::uint32_t MaximumConcurrency = 4096;
static constexpr std::uint32_t MaximumDeadlineMs = 600'000;
static constexpr std::uint32_t MaximumDocumentBytes = 64U << 20U;
static constexpr int ExitUsage = 2;

/// What is wrong with the flags; empty where they are valid.
static std::string problemOfFlags()
{
    const std::uint64_t requests = absl::GetFlag(FLAGS_requests);
    const double seconds = absl::GetFlag(FLAGS_duration_s);
    const std::uint32_t concurrency = absl::GetFlag(FLAGS_concurrency);
    if (absl::GetFlag(FLAGS_targets).empty()) {
        return "--targets is missing";
    }
    if (requests > MaximumRequests || absl::GetFlag(FLAGS_warmup) > MaximumRequests || !(seconds >= 0 && seconds <= MaximumSeconds)) {
        return "--requests, --warmup or --duration-s is out of range";
    }
    if (requests == 0 && seconds == 0) {
        return "one of --requests and --duration-s must bound the run";
    }
    if (concurrency == 0 || concurrency > MaximumConcurrency || !(absl::GetFlag(FLAGS_rate) >= 0)) {
        return "--concurrency or --rate is out of range";
    }
    if (absl::GetFlag(FLAGS_deadline_ms) > MaximumDeadlineMs || absl::GetFlag(FLAGS_document_bytes) > MaximumDocumentBytes) {
        return "--deadline-ms or --document-bytes is out of range";
    }
    return {};
}

static Result<std::vector<std::string>> tryParseTargets(const std::string &text)
{
    std::vector<std::string> targets;
    std::istringstream stream(text);
    for (std::string target; std::getline(stream, target, ',');) {
        g_autoptr(GUri) uri = g_uri_parse(target.c_str(), GUriFlags(SOUP_HTTP_URI_FLAGS), nullptr);
        if (uri == nullptr || std::string_view(g_uri_get_scheme(uri)) != "http") {
            return Error {ErrorCode::CommandLineInvalid, "--targets: not an HTTP URL: " + target};
        }
        while (target.ends_with('/')) {
            target.pop_back();
        }
        targets.push_back(target);
    }
    return targets;
}

static Result<LoadSettings> trySettingsFromFlags()
{
    const std::string problem = problemOfFlags();
    if (!problem.empty()) {
        return Error {ErrorCode::CommandLineInvalid, problem};
    }
    Result<std::vector<std::string>> targets = tryParseTargets(absl::GetFlag(FLAGS_targets));
    if (isError(targets)) {
        return errorOf(targets);
    }
    const Result<RequestMix> mix = RequestMix::tryParse(absl::GetFlag(FLAGS_mix));
    if (isError(mix)) {
        return errorOf(mix);
    }
    LoadSettings settings;
    settings.targets = valueOf(std::move(targets));
    settings.service = absl::GetFlag(FLAGS_service);
    settings.caller = absl::GetFlag(FLAGS_caller);
    settings.requests = absl::GetFlag(FLAGS_requests);
    settings.warmup = absl::GetFlag(FLAGS_warmup);
    settings.concurrency = absl::GetFlag(FLAGS_concurrency);
    settings.rate = absl::GetFlag(FLAGS_rate);
    settings.duration = Duration(static_cast<Duration::rep>(absl::GetFlag(FLAGS_duration_s) * 1e6));
    settings.mix = valueOf(mix);
    settings.deadline = std::chrono::milliseconds(absl::GetFlag(FLAGS_deadline_ms));
    settings.documentBytes = absl::GetFlag(FLAGS_document_bytes);
    settings.isDirect = absl::GetFlag(FLAGS_direct);
    settings.seed = absl::GetFlag(FLAGS_seed);
    return settings;
}

/// Sends requests and reports outcomes and latencies. Exit code 0: no bad answer and enough answered;
/// 1: not so; 2: the command line is not valid.
int main(int argc, char **argv)
{
    normalizeFlagNames(argc, argv);
    absl::SetProgramUsageMessage("load generator");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("fuchsiaload " FUCHSIASTEP_VERSION "\n");
    };
    // Abseil shows no flag of a file that is not named after the program.
    usage.contains_help_flags = [](absl::string_view file) {
        return file.find("main.cpp") != absl::string_view::npos;
    };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);

    const Result<LoadSettings> settings = trySettingsFromFlags();
    if (isError(settings)) {
        std::cerr << "fuchsiaload: " << describe(errorOf(settings)) << '\n';
        return ExitUsage;
    }
    // Keys must be fresh in every run, also with the same seed, because outcomes stored for a key outlive a run.
    std::ostringstream runId;
    runId << std::hex << Random::fromSystem().next();
    LoadRunner runner(valueOf(settings), runId.str());
    const LoadSummary &summary = runner.run();
    std::cout << (absl::GetFlag(FLAGS_json) ? summary.toJson().toText() + '\n' : summary.toText());
    const bool isEnough = summary.answeredPercent() >= absl::GetFlag(FLAGS_require_answered);
    return summary.badAnswers() == 0 && isEnough ? 0 : 1;
}

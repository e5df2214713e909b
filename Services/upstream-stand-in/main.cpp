#include "Announcer.h"
#include "DrainControl.h"
#include "UpstreamHttpServer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <sys/resource.h>

#include <iostream>
#include <memory>
#include <sstream>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on, IP:PORT; port 0 lets the kernel choose");
ABSL_FLAG(std::string, upstream_id, "", "id of the upstream; by default the service and the port");
ABSL_FLAG(std::string, service, "order-desk", "service that the upstream belongs to");
ABSL_FLAG(std::string, labels, "", "labels, a=b,c=d");
ABSL_FLAG(std::uint32_t, slots, 6, "requests that run at once");
ABSL_FLAG(std::uint32_t, connections, 130, "connections at once");
ABSL_FLAG(std::string, announce, "", "base URL of the proxy beside the upstream, http://IP:PORT; empty announces nothing");
ABSL_FLAG(std::uint32_t, service_time_ms, 2, "mean time that a request takes");
ABSL_FLAG(std::uint32_t, cold_start_ms, 0, "time after the start during which requests take longer");
ABSL_FLAG(std::uint32_t, shed_at, 0, "load in thousandths above which requests are shed; 0 sheds nothing");
ABSL_FLAG(bool, health_lies, false, "GET /health says the opposite");
ABSL_FLAG(bool, load_lies, false, "reports the complement of the load");
ABSL_FLAG(std::uint32_t, health_delay_ms, 6, "time that GET /health takes");
ABSL_FLAG(std::string, run_log, "", "file to which each run is appended as it begins: <unix ms> <key>");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the jitter");

using namespace Fuchsiastep;

static int fail(const Error &error)
{
    std::cerr << "upstream-stand-in: " << describe(error) << '\n';
    return 1;
}

static Result<std::map<std::string, std::string>> tryParseLabels(const std::string &text)
{
    std::map<std::string, std::string> labels;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto equals = item.find('=');
        if (equals == std::string::npos || equals == 0) {
            return Error {ErrorCode::CommandLineInvalid, "--labels: expected name=value: " + item};
        }
        labels[item.substr(0, equals)] = item.substr(equals + 1);
    }
    return labels;
}

static EmulatorSettings settingsFromFlags(std::map<std::string, std::string> labels)
{
    EmulatorSettings settings;
    settings.upstreamId = absl::GetFlag(FLAGS_upstream_id);
    settings.service = absl::GetFlag(FLAGS_service);
    settings.labels = std::move(labels);
    settings.slots = absl::GetFlag(FLAGS_slots);
    settings.connections = absl::GetFlag(FLAGS_connections);
    settings.serviceTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_service_time_ms));
    settings.coldStart = std::chrono::milliseconds(absl::GetFlag(FLAGS_cold_start_ms));
    settings.shedAtPermille = absl::GetFlag(FLAGS_shed_at);
    settings.healthLies = absl::GetFlag(FLAGS_health_lies);
    settings.loadLies = absl::GetFlag(FLAGS_load_lies);
    settings.healthDelay = std::chrono::milliseconds(absl::GetFlag(FLAGS_health_delay_ms));
    settings.runLogPath = absl::GetFlag(FLAGS_run_log);
    return settings;
}

/// An emulated upstream process.
int main(int argc, char **argv)
{
    normalizeFlagNames(argc, argv);
    absl::SetProgramUsageMessage("emulated upstream");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("upstream-stand-in " FUCHSIASTEP_VERSION "\n");
    };
    // Abseil shows no flag of a file that is not named after the program.
    usage.contains_help_flags = [](absl::string_view file) {
        return file.find("main.cpp") != absl::string_view::npos;
    };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);

    // Crashes are part of the emulation, so they leave no core files.
    const rlimit noCore {0, 0};
    setrlimit(RLIMIT_CORE, &noCore);

    const auto labels = tryParseLabels(absl::GetFlag(FLAGS_labels));
    if (isError(labels)) {
        return fail(errorOf(labels));
    }
    const Result<SocketAddress> address = SocketAddress::tryParse(absl::GetFlag(FLAGS_listen));
    if (isError(address)) {
        return fail({ErrorCode::CommandLineInvalid, "--listen: " + errorOf(address).detail});
    }
    const Clock clock = Clock::system();
    UpstreamEmulator emulator(settingsFromFlags(valueOf(labels)), clock, absl::GetFlag(FLAGS_seed));
    UpstreamHttpServer server(emulator);
    const Result<SocketAddress> used = server.tryListen(valueOf(address));
    if (isError(used)) {
        return fail(errorOf(used));
    }
    emulator.setDefaultId(valueOf(used));
    GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
    std::unique_ptr<Announcer> announcer;
    if (!absl::GetFlag(FLAGS_announce).empty()) {
        announcer = std::make_unique<Announcer>(emulator, valueOf(used), absl::GetFlag(FLAGS_announce));
    }
    const DrainControl drain(emulator, server, announcer.get(), loop);
    std::cout << "listening http " << valueOf(used).toString() << std::endl;
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    return 0;
}

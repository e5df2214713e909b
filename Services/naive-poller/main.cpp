#include "NaivePoller.h"

#include <LibCore/FlagNames.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, platform, "", "base URL of the platform");
ABSL_FLAG(std::uint32_t, interval_ms, 500, "time between polls");

using namespace Fuchsiastep;

/// The naive way to keep a proxy current. Writes "<version> <unix ms>" to standard error for each version it adopts.
int main(int argc, char **argv)
{
    normalizeFlagNames(argc, argv);
    absl::SetProgramUsageMessage("polls the whole configuration from the platform");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_platform).empty() || absl::GetFlag(FLAGS_interval_ms) == 0) {
        std::cerr << "naive-poller: " << describe({ErrorCode::CommandLineInvalid, "--platform or --interval-ms"}) << '\n';
        return 2;
    }
    NaivePoller poller(absl::GetFlag(FLAGS_platform), std::chrono::milliseconds(absl::GetFlag(FLAGS_interval_ms)));
    poller.poll();
    std::cout << "listening nowhere" << std::endl;
    GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    return 0;
}

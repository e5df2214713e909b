#include <LibCore/LibCore.h>
#include <LibProxy/LibProxy.h>

#include <platform/PlatformAdapter.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <glib-unix.h>

#include <csignal>
#include <iostream>

using namespace Fuchsiastep;

ABSL_FLAG(std::string, settings, "", "path of the settings file in JSON; required");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

gboolean drainOnSignal(gpointer runtime)
{
    static_cast<ProxyRuntime *>(runtime)->drain();
    return G_SOURCE_CONTINUE;
}

/// Reads the settings file again. Settings that are not valid are refused whole, and the old ones stay in force.
gboolean reloadOnSignal(gpointer data)
{
    auto *runtime = static_cast<ProxyRuntime *>(data);
    std::vector<Error> errors;
    const Result<ProxySettings> settings = ProxySettings::tryLoad(absl::GetFlag(FLAGS_settings), errors);
    if (isError(settings)) {
        logEvent(LogEvent::SettingsRejected, {{"error", describe(errorOf(settings))}, {"errors", errors.size()}});
        return G_SOURCE_CONTINUE;
    }
    runtime->reload(valueOf(settings));
    return G_SOURCE_CONTINUE;
}

int runProxy(const ProxySettings &settings)
{
    GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
    int exitCode = 0;
    {
        EdgeProtocol protocol = settings.edge == EdgeKind::Platform ? platformProtocol(settings) : nativeProtocol();
        ProxyRuntime runtime(settings, std::move(protocol), [loop] { g_main_loop_quit(loop); });
        const Result<ProxyAddresses> addresses = runtime.tryStart();
        if (isError(addresses)) {
            std::cerr << describe(errorOf(addresses)) << '\n';
            exitCode = ExitFailure;
        } else {
            g_unix_signal_add(SIGTERM, &drainOnSignal, &runtime);
            g_unix_signal_add(SIGINT, &drainOnSignal, &runtime);
            g_unix_signal_add(SIGHUP, &reloadOnSignal, &runtime);
            const auto &[callers, control, peers] = valueOf(addresses);
            logEvent(LogEvent::ProgramStarted, {{"proxy", settings.proxyId}, {"version", FUCHSIASTEP_VERSION}});
            std::cout << "listening callers " << callers.toString() << " control " << control.toString() << " peers " << peers.toString()
                      << std::endl;
            g_main_loop_run(loop);
            logEvent(LogEvent::ProgramStopped, {{"proxy", settings.proxyId}});
        }
    }
    g_main_loop_unref(loop);
    return exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("The proxy of fuchsiastep, one beside each upstream.\nusage: fuchsiastepd --settings FILE [--check]");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("fuchsiastepd " FUCHSIASTEP_VERSION "\n");
    };
    // Abseil shows no flag of a file that is not named after the program.
    usage.contains_help_flags = [](absl::string_view file) {
        return file.find("main.cpp") != absl::string_view::npos;
    };
    absl::SetFlagsUsageConfig(usage);
    const std::vector<char *> rest = absl::ParseCommandLine(argc, argv);
    if (rest.size() > 1 || absl::GetFlag(FLAGS_settings).empty()) {
        std::cerr << describe({ErrorCode::CommandLineInvalid, "usage: fuchsiastepd --settings FILE [--check]"}) << '\n';
        return ExitUsage;
    }
    std::vector<Error> errors;
    const Result<ProxySettings> settings = ProxySettings::tryLoad(absl::GetFlag(FLAGS_settings), errors);
    for (const Error &error : errors) {
        std::cerr << describe(error) << '\n';
    }
    if (isError(settings)) {
        return ExitUsage;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << "settings are valid\n";
        return 0;
    }
    // A reader of the log that goes away must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    startLogging(valueOf(settings).logLevel, valueOf(settings).logOutput);
    return runProxy(valueOf(settings));
}

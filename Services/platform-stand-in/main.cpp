#include <LibCore/LibCore.h>
#include <LibPlatform/LibPlatform.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <glib-unix.h>

#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on, IP:PORT; port 0 lets the kernel choose");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the injected faults");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

using namespace Fuchsiastep;

static int fail(const Error &error)
{
    std::cerr << "platform-stand-in: " << describe(error) << '\n';
    return 1;
}

static gboolean stop(gpointer loop)
{
    g_main_loop_quit(static_cast<GMainLoop *>(loop));
    return G_SOURCE_CONTINUE;
}

/// Stands in for the platform: an in-memory table and object store over HTTP, with fault injection.
int main(int argc, char **argv)
{
    normalizeFlagNames(argc, argv);
    absl::SetProgramUsageMessage("stand-in for the platform's table and object store");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("platform-stand-in " FUCHSIASTEP_VERSION "\n");
    };
    // Abseil shows no flag of a file that is not named after the program.
    usage.contains_help_flags = [](absl::string_view file) {
        return file.find("main.cpp") != absl::string_view::npos;
    };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);

    LogLevel level = LogLevel::Info;
    if (!tryParseLogLevel(absl::GetFlag(FLAGS_log_level), level)) {
        return fail({ErrorCode::CommandLineInvalid, "--log-level"});
    }
    startLogging(level);
    const Result<SocketAddress> address = SocketAddress::tryParse(absl::GetFlag(FLAGS_listen));
    if (isError(address)) {
        return fail({ErrorCode::CommandLineInvalid, "--listen: " + errorOf(address).detail});
    }

    const Clock clock = Clock::system();
    PlatformStore store(clock);
    PlatformFaults faults(absl::GetFlag(FLAGS_seed));
    PlatformHttpService service(store, faults);
    const Result<SocketAddress> used = service.tryListen(valueOf(address));
    if (isError(used)) {
        return fail(errorOf(used));
    }
    GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
    g_unix_signal_add(SIGTERM, stop, loop);
    g_unix_signal_add(SIGINT, stop, loop);
    logEvent(LogEvent::ProgramStarted, {{"version", FUCHSIASTEP_VERSION}, {"http", valueOf(used).toString()}});
    std::cout << "listening http " << valueOf(used).toString() << std::endl;
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    logEvent(LogEvent::ProgramStopped);
    return 0;
}

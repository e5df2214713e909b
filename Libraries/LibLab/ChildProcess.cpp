#include <LibLab/ChildProcess.h>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>

namespace Fuchsiastep {

static void dieWithParent(gpointer)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

Result<GSubprocess *> tryStartChild(const ProcessCommand &command)
{
    const auto silence = command.logPath.empty() ? G_SUBPROCESS_FLAGS_STDERR_SILENCE : G_SUBPROCESS_FLAGS_NONE;
    g_autoptr(GSubprocessLauncher) launcher = g_subprocess_launcher_new(GSubprocessFlags(G_SUBPROCESS_FLAGS_STDOUT_PIPE | silence));
    g_subprocess_launcher_set_child_setup(launcher, dieWithParent, nullptr, nullptr);
    if (!command.logPath.empty()) {
        constexpr mode_t LogMode = 0644;
        const int log = open(command.logPath.c_str(), O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, LogMode);
        if (log < 0) {
            return Error {ErrorCode::FileUnreadable, command.logPath};
        }
        g_subprocess_launcher_take_stderr_fd(launcher, log);
    }
    std::vector<const char *> words {command.program.c_str()};
    for (const std::string &argument : command.arguments) {
        words.push_back(argument.c_str());
    }
    words.push_back(nullptr);
    g_autoptr(GError) error = nullptr;
    GSubprocess *process = g_subprocess_launcher_spawnv(launcher, words.data(), &error);
    if (process == nullptr) {
        return Error {ErrorCode::FileUnreadable, command.program + ": " + error->message};
    }
    return process;
}

} // namespace Fuchsiastep

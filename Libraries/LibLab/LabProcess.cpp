#include <LibLab/LabProcess.h>

#include <LibLab/ChildProcess.h>
#include <LibLab/LabLoop.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Fuchsiastep {

struct LabProcess::State
{
    std::string line;
    bool isLineRead = false;
    std::optional<int> exitStatus;
};

Result<std::unique_ptr<LabProcess>> LabProcess::tryStart(const ProcessCommand &command)
{
    const Result<GSubprocess *> process = tryStartChild(command);
    if (isError(process)) {
        return errorOf(process);
    }
    return std::unique_ptr<LabProcess>(new LabProcess(valueOf(process)));
}

LabProcess::LabProcess(GSubprocess *process)
    : m_process(process)
    , m_output(g_data_input_stream_new(g_subprocess_get_stdout_pipe(process)))
    , m_cancellable(g_cancellable_new())
    , m_state(std::make_shared<State>())
{
    g_data_input_stream_read_line_async(m_output, G_PRIORITY_DEFAULT, m_cancellable, onLine, new std::shared_ptr<State>(m_state));
    g_subprocess_wait_async(m_process, m_cancellable, onExit, new std::shared_ptr<State>(m_state));
}

LabProcess::~LabProcess()
{
    g_cancellable_cancel(m_cancellable);
    g_subprocess_force_exit(m_process);
    g_subprocess_wait(m_process, nullptr, nullptr);
    g_object_unref(m_output);
    g_object_unref(m_process);
    g_object_unref(m_cancellable);
}

void LabProcess::onLine(GObject *stream, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<std::shared_ptr<State>> state(static_cast<std::shared_ptr<State> *>(data));
    g_autofree char *line = g_data_input_stream_read_line_finish(G_DATA_INPUT_STREAM(stream), result, nullptr, nullptr);
    (*state)->line = line != nullptr ? line : "";
    (*state)->isLineRead = true;
}

void LabProcess::onExit(GObject *process, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<std::shared_ptr<State>> state(static_cast<std::shared_ptr<State> *>(data));
    if (!g_subprocess_wait_finish(G_SUBPROCESS(process), result, nullptr)) {
        return;
    }
    GSubprocess *ended = G_SUBPROCESS(process);
    (*state)->exitStatus = g_subprocess_get_if_exited(ended) ? g_subprocess_get_exit_status(ended) : -g_subprocess_get_term_sig(ended);
}

void LabProcess::signal(int number)
{
    g_subprocess_send_signal(m_process, number);
}

void LabProcess::kill()
{
    constexpr Duration KillLimit = std::chrono::seconds(10);
    signal(SIGKILL);
    waitForExit(KillLimit);
}

bool LabProcess::isRunning() const
{
    return !m_state->exitStatus;
}

bool LabProcess::isStarted() const
{
    return m_state->isLineRead || m_state->exitStatus;
}

std::optional<SocketAddress> LabProcess::addressOf(const std::string &name) const
{
    std::istringstream words(m_state->line);
    std::string key;
    std::string address;
    words >> key;
    while (words >> key >> address) {
        const Result<SocketAddress> parsed = SocketAddress::tryParse(address);
        if (key == name && !isError(parsed)) {
            return valueOf(parsed);
        }
    }
    return std::nullopt;
}

std::optional<int> LabProcess::exitStatus() const
{
    return m_state->exitStatus;
}

std::uint64_t LabProcess::peakMemoryBytes() const
{
    constexpr std::uint64_t BytesPerKibibyte = 1024;
    const char *identifier = g_subprocess_get_identifier(m_process);
    if (identifier == nullptr) {
        return 0;
    }
    std::ifstream file("/proc/" + std::string(identifier) + "/status");
    std::string word;
    while (file >> word) {
        std::uint64_t kibibytes = 0;
        if (word == "VmHWM:" && file >> kibibytes) {
            return kibibytes * BytesPerKibibyte;
        }
    }
    return 0;
}

std::size_t LabProcess::openDescriptors() const
{
    const char *identifier = g_subprocess_get_identifier(m_process);
    if (identifier == nullptr) {
        return 0;
    }
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::string(identifier) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(entries, std::filesystem::directory_iterator()));
}

bool LabProcess::waitForExit(Duration limit)
{
    return runLoopUntil([this] { return !isRunning(); }, limit);
}

} // namespace Fuchsiastep

#include <LibLab/ToolRun.h>

#include <LibLab/ChildProcess.h>
#include <LibLab/LabLoop.h>

namespace Fuchsiastep {

struct ToolRun::State
{
    bool isDone = false;
    int exitStatus = -1;
    std::string output;
};

Result<std::unique_ptr<ToolRun>> ToolRun::tryStart(const ProcessCommand &command)
{
    const Result<GSubprocess *> process = tryStartChild(command);
    if (isError(process)) {
        return errorOf(process);
    }
    return std::unique_ptr<ToolRun>(new ToolRun(valueOf(process)));
}

ToolRun::ToolRun(GSubprocess *process) : m_process(process), m_state(std::make_shared<State>())
{
    g_subprocess_communicate_utf8_async(m_process, nullptr, nullptr, onDone, new std::shared_ptr<State>(m_state));
}

ToolRun::~ToolRun()
{
    g_subprocess_force_exit(m_process);
    g_subprocess_wait(m_process, nullptr, nullptr);
    g_object_unref(m_process);
}

void ToolRun::onDone(GObject *process, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<std::shared_ptr<State>> state(static_cast<std::shared_ptr<State> *>(data));
    g_autofree char *output = nullptr;
    g_subprocess_communicate_utf8_finish(G_SUBPROCESS(process), result, &output, nullptr, nullptr);
    (*state)->output = output != nullptr ? output : "";
    if (g_subprocess_get_if_exited(G_SUBPROCESS(process))) {
        (*state)->exitStatus = g_subprocess_get_exit_status(G_SUBPROCESS(process));
    }
    (*state)->isDone = true;
}

bool ToolRun::isDone() const
{
    return m_state->isDone;
}

bool ToolRun::waitUntilDone(Duration limit)
{
    return runLoopUntil([this] { return isDone(); }, limit);
}

int ToolRun::exitStatus() const
{
    return m_state->exitStatus;
}

const std::string &ToolRun::output() const
{
    return m_state->output;
}

} // namespace Fuchsiastep

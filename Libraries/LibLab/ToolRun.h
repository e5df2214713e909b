#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibLab/ProcessCommand.h>

#include <gio/gio.h>

#include <memory>
#include <optional>
#include <string>

namespace Fuchsiastep {

/// A program that ends by itself, such as fuchsiaload, and all of its standard output.
class ToolRun
{
public:
    /// Fails with FileUnreadable.
    static Result<std::unique_ptr<ToolRun>> tryStart(const ProcessCommand &command);
    /// Kills the program where it still runs.
    ~ToolRun();
    ToolRun(const ToolRun &) = delete;
    ToolRun &operator=(const ToolRun &) = delete;

    bool isDone() const;
    /// Returns false where the program still runs at the end of \a limit.
    bool waitUntilDone(Duration limit);
    /// Exit status; -1 while it runs and where a signal ended it.
    int exitStatus() const;
    const std::string &output() const;

private:
    struct State;
    explicit ToolRun(GSubprocess *process);
    static void onDone(GObject *process, GAsyncResult *result, gpointer data);

    GSubprocess *m_process;
    std::shared_ptr<State> m_state;
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibCore/SocketAddress.h>
#include <LibLab/ProcessCommand.h>

#include <gio/gio.h>

#include <cstdint>
#include <memory>
#include <optional>

namespace Fuchsiastep {

/// A daemon that prints one line "listening NAME IP:PORT ..." when it is up.
class LabProcess
{
public:
    /// Fails with FileUnreadable.
    static Result<std::unique_ptr<LabProcess>> tryStart(const ProcessCommand &command);
    /// Kills the process and waits for its end.
    ~LabProcess();
    LabProcess(const LabProcess &) = delete;
    LabProcess &operator=(const LabProcess &) = delete;

    /// Sends SIGTERM, SIGKILL, SIGSTOP or SIGCONT. Has no effect after the end.
    void signal(int number);
    /// SIGKILL, and waits for the end.
    void kill();

    bool isRunning() const;
    /// Whether it printed its line or ended without.
    bool isStarted() const;
    /// The address that the line names, or nothing.
    std::optional<SocketAddress> addressOf(const std::string &name) const;
    /// Exit status, or the negative number of the signal that ended it; nothing while it runs.
    std::optional<int> exitStatus() const;
    /// The most memory that the process has held, in bytes; 0 after its end.
    std::uint64_t peakMemoryBytes() const;
    /// Descriptors that the process has open; 0 after its end.
    std::size_t openDescriptors() const;
    /// Returns false where the process still runs at the end of \a limit.
    bool waitForExit(Duration limit);

private:
    struct State;
    explicit LabProcess(GSubprocess *process);
    static void onLine(GObject *stream, GAsyncResult *result, gpointer data);
    static void onExit(GObject *process, GAsyncResult *result, gpointer data);

    GSubprocess *m_process;
    GDataInputStream *m_output;
    GCancellable *m_cancellable;
    /// Outlives this object while a callback is due.
    std::shared_ptr<State> m_state;
};

} // namespace Fuchsiastep

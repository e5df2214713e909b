#pragma once

#include "Announcer.h"
#include "UpstreamHttpServer.h"

namespace Fuchsiastep {

/// Ends the process on SIGTERM or SIGINT: announces draining, lets running requests finish, then leaves the main loop.
class DrainControl
{
public:
    /// \a announcer may be nullptr where nothing is announced.
    DrainControl(UpstreamEmulator &emulator, const UpstreamHttpServer &server, Announcer *announcer, GMainLoop *loop);
    ~DrainControl();
    DrainControl(const DrainControl &) = delete;
    DrainControl &operator=(const DrainControl &) = delete;

private:
    static gboolean onSignal(gpointer data);
    static gboolean onCheck(gpointer data);

    UpstreamEmulator &m_emulator;
    const UpstreamHttpServer &m_server;
    Announcer *m_announcer;
    GMainLoop *m_loop;
    Clock m_clock = Clock::system();
    TimePoint m_drainStartedAt;
    guint m_checkTimer = 0;
};

} // namespace Fuchsiastep

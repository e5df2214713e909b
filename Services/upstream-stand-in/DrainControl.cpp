#include "DrainControl.h"

#include <glib-unix.h>

#include <csignal>

namespace Fuchsiastep {

static constexpr guint CheckIntervalMs = 10;
/// A proxy that is gone cannot acknowledge, so the wait for its answer is bounded.
static constexpr Duration AcknowledgementLimit = std::chrono::seconds(1);

DrainControl::DrainControl(UpstreamEmulator &emulator, const UpstreamHttpServer &server, Announcer *announcer, GMainLoop *loop)
    : m_emulator(emulator), m_server(server), m_announcer(announcer), m_loop(loop)
{
    g_unix_signal_add(SIGTERM, onSignal, this);
    g_unix_signal_add(SIGINT, onSignal, this);
}

DrainControl::~DrainControl()
{
    if (m_checkTimer != 0) {
        g_source_remove(m_checkTimer);
    }
}

gboolean DrainControl::onSignal(gpointer data)
{
    auto &control = *static_cast<DrainControl *>(data);
    if (control.m_checkTimer != 0) {
        return G_SOURCE_CONTINUE;
    }
    control.m_emulator.startDraining();
    control.m_drainStartedAt = control.m_clock.now();
    control.m_checkTimer = g_timeout_add(CheckIntervalMs, onCheck, data);
    if (control.m_announcer != nullptr) {
        control.m_announcer->announce();
    }
    return G_SOURCE_CONTINUE;
}

gboolean DrainControl::onCheck(gpointer data)
{
    auto &control = *static_cast<DrainControl *>(data);
    const bool isLate = control.m_clock.now() - control.m_drainStartedAt > AcknowledgementLimit;
    const bool isKnown = control.m_announcer == nullptr || control.m_announcer->isDrainKnown() || isLate;
    if (isKnown && control.m_server.isIdle()) {
        g_main_loop_quit(control.m_loop);
    }
    return G_SOURCE_CONTINUE;
}

} // namespace Fuchsiastep

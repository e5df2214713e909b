#include <LibLab/LabLoop.h>

#include <glib.h>

namespace Fuchsiastep {

bool runLoopUntil(const std::function<bool()> &isDone, Duration limit)
{
    constexpr guint WakeIntervalMs = 10; // A condition may depend on time alone, without an event.
    const gint64 deadline = g_get_monotonic_time() + limit.count();
    const guint wake = g_timeout_add(
        WakeIntervalMs, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
    bool isMet = isDone();
    while (!isMet && g_get_monotonic_time() < deadline) {
        g_main_context_iteration(nullptr, TRUE);
        isMet = isDone();
    }
    g_source_remove(wake);
    return isMet;
}

} // namespace Fuchsiastep

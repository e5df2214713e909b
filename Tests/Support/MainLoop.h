#pragma once

#include <glib.h>

#include <functional>

namespace Fuchsiastep {

/// Runs the default main context until \a isDone. Returns false after ten seconds, which only a fault uses up.
inline bool runUntil(const std::function<bool()> &isDone)
{
    constexpr gint64 LimitUs = 10'000'000;
    const gint64 deadline = g_get_monotonic_time() + LimitUs;
    while (!isDone()) {
        if (g_get_monotonic_time() > deadline) {
            return false;
        }
        // A timer bounds the wait for events, because the condition may also depend on time.
        const guint wake = g_timeout_add(
            10, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
        g_main_context_iteration(nullptr, TRUE);
        g_source_remove(wake);
    }
    return true;
}

} // namespace Fuchsiastep

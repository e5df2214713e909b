#include <LibProxy/Timer.h>

#include <algorithm>

namespace Fuchsiastep {

Timer::Timer(const Clock &clock, std::function<void()> onDue) : m_clock(clock), m_onDue(std::move(onDue))
{
    static GSourceFuncs functions {
        nullptr,
        nullptr,
        [](GSource *, GSourceFunc callback, gpointer data) -> gboolean { return callback(data); },
        nullptr,
        nullptr,
        nullptr,
    };
    m_source = g_source_new(&functions, sizeof(GSource));
    const GSourceFunc callback = [](gpointer data) -> gboolean {
        auto *self = static_cast<Timer *>(data);
        g_source_set_ready_time(self->m_source, -1);
        self->m_onDue();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(m_source, callback, this, nullptr);
    g_source_attach(m_source, nullptr);
}

Timer::~Timer()
{
    g_source_destroy(m_source);
    g_source_unref(m_source);
}

void Timer::setDeadline(std::optional<TimePoint> deadline)
{
    if (!deadline) {
        g_source_set_ready_time(m_source, -1);
        return;
    }
    const Duration wait = std::max(*deadline - m_clock.now(), Duration(0));
    g_source_set_ready_time(m_source, g_get_monotonic_time() + wait.count());
}

} // namespace Fuchsiastep

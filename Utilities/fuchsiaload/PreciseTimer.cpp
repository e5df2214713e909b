#include "PreciseTimer.h"

#include <glib-unix.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>

namespace Fuchsiastep {

static gboolean callReady(gint descriptor, GIOCondition condition, gpointer data);

PreciseTimer::PreciseTimer(std::function<void()> callback)
    : m_callback(std::move(callback)), m_descriptor(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    m_source = g_unix_fd_add(m_descriptor, G_IO_IN, callReady, this);
}

PreciseTimer::~PreciseTimer()
{
    g_source_remove(m_source);
    close(m_descriptor);
}

void PreciseTimer::start(Duration delay)
{
    // A delay of 0 would stop the timer.
    const auto nanoseconds = std::chrono::nanoseconds(std::max(delay, Duration(1))).count();
    constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
    itimerspec setting {};
    setting.it_value.tv_sec = nanoseconds / NanosecondsPerSecond;
    setting.it_value.tv_nsec = nanoseconds % NanosecondsPerSecond;
    timerfd_settime(m_descriptor, 0, &setting, nullptr);
}

void PreciseTimer::onReady()
{
    std::uint64_t expirations = 0;
    if (read(m_descriptor, &expirations, sizeof(expirations)) == sizeof(expirations)) {
        m_callback();
    }
}

static gboolean callReady(gint, GIOCondition, gpointer data)
{
    static_cast<PreciseTimer *>(data)->onReady();
    return G_SOURCE_CONTINUE;
}

} // namespace Fuchsiastep

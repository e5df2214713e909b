#pragma once

#include <LibCore/Clock.h>

#include <glib.h>

#include <functional>
#include <optional>

namespace Fuchsiastep {

/// Calls its owner at a point in time on the default main context. The owner may set it again from the call.
class Timer
{
public:
    Timer(const Clock &clock, std::function<void()> onDue);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Replaces the point in time; nothing stops the timer.
    void setDeadline(std::optional<TimePoint> deadline);

private:
    const Clock &m_clock;
    std::function<void()> m_onDue;
    GSource *m_source;
};

} // namespace Fuchsiastep

#include <LibCore/LogRateLimit.h>

#include <utility>

namespace Fuchsiastep {

std::optional<std::uint64_t> LogRateLimit::admit(LogEvent event)
{
    Window &window = m_windows[static_cast<std::uint16_t>(event)];
    const TimePoint now = m_clock.now();
    if (now >= window.begin + std::chrono::seconds(1)) {
        window.begin = now;
        window.lines = 0;
    }
    if (window.lines >= LinesPerSecond) {
        ++window.leftOut;
        return std::nullopt;
    }
    ++window.lines;
    return std::exchange(window.leftOut, 0);
}

} // namespace Fuchsiastep

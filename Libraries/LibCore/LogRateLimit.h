#pragma once

#include <LibCore/Clock.h>
#include <LibCore/LogEvent.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Fuchsiastep {

/// Bounds the lines that each event may write, so that a fault that touches every request does not cost the time of the
/// requests that go well.
class LogRateLimit
{
public:
    /// Lines of one event in one second. What an engineer reads of one instance is far less.
    static constexpr std::uint64_t LinesPerSecond = 40;

    explicit LogRateLimit(const Clock &clock) : m_clock(clock)
    { }

    /// Nothing where the line is left out; else the number of lines of the event that were left out before it.
    std::optional<std::uint64_t> admit(LogEvent event);

private:
    struct Window
    {
        TimePoint begin;
        std::uint64_t lines = 0;
        std::uint64_t leftOut = 0;
    };

    const Clock &m_clock;
    std::unordered_map<std::uint16_t, Window> m_windows;
};

} // namespace Fuchsiastep

#pragma once

#include <chrono>
#include <cstdint>
#include <variant>

namespace Fuchsiastep {

using Duration = std::chrono::microseconds;

inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Tag of the monotonic time line that Clock reads.
struct MonotonicTimeLine
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicTimeLine, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by <chrono>.
};

/// An instant on the monotonic clock, in microseconds since an arbitrary start.
using TimePoint = MonotonicTimeLine::time_point;

/// The clock of the runtime. Decision code reads time from here only, so that tests can pause and advance it.
class Clock
{
public:
    /// A clock that follows the monotonic clock of the operating system.
    static Clock system();
    /// A clock that stands still until advance() is called.
    static Clock manual(TimePoint start = TimePoint(std::chrono::seconds(1000)));

    TimePoint now() const;
    /// Milliseconds since an arbitrary start, which also count while the instance is suspended. now() stands still then.
    std::uint64_t uninterruptedMilliseconds() const;
    /// Wall-clock time in milliseconds since the Unix epoch, for audit entries and logs only.
    std::int64_t unixMilliseconds() const;

    /// Moves a manual clock forward. Has no effect on a system clock.
    void advance(Duration step);

private:
    struct SystemSource
    { };
    struct ManualSource
    {
        TimePoint current;
    };
    using Source = std::variant<SystemSource, ManualSource>;

    explicit Clock(Source source) : m_source(source)
    { }

    Source m_source;
};

} // namespace Fuchsiastep

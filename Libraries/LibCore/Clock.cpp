#include <LibCore/Clock.h>
#include <LibCore/Result.h>

#include <glib.h>

#include <ctime>

namespace Fuchsiastep {

Clock Clock::system()
{
    return Clock(SystemSource {});
}

Clock Clock::manual(TimePoint start)
{
    return Clock(ManualSource {start});
}

TimePoint Clock::now() const
{
    return std::visit(Overloaded {
                          [](const SystemSource &) { return TimePoint(Duration(g_get_monotonic_time())); },
                          [](const ManualSource &source) { return source.current; },
                      },
        m_source);
}

std::int64_t Clock::unixMilliseconds() const
{
    return std::visit(Overloaded {
                          [](const SystemSource &) -> std::int64_t { return g_get_real_time() / 1000; },
                          [](const ManualSource &source) -> std::int64_t {
                              return std::chrono::duration_cast<std::chrono::milliseconds>(source.current.time_since_epoch()).count();
                          },
                      },
        m_source);
}

std::uint64_t Clock::uninterruptedMilliseconds() const
{
    return std::visit(Overloaded {
                          [](const SystemSource &) {
                              constexpr std::uint64_t MillisecondsPerSecond = 1000;
                              constexpr std::uint64_t NanosecondsPerMillisecond = 1'000'000;
                              timespec time {};
                              clock_gettime(CLOCK_BOOTTIME, &time);
                              return static_cast<std::uint64_t>(time.tv_sec) * MillisecondsPerSecond
                                  + static_cast<std::uint64_t>(time.tv_nsec) / NanosecondsPerMillisecond;
                          },
                          [](const ManualSource &source) {
                              const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(source.current.time_since_epoch());
                              return static_cast<std::uint64_t>(elapsed.count());
                          },
                      },
        m_source);
}

void Clock::advance(Duration step)
{
    if (auto *source = std::get_if<ManualSource>(&m_source)) {
        source->current += step;
    }
}

} // namespace Fuchsiastep

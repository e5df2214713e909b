#include <LibCore/Clock.h>
#include <LibCore/Result.h>

#include <glib.h>

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

void Clock::advance(Duration step)
{
    if (auto *source = std::get_if<ManualSource>(&m_source)) {
        source->current += step;
    }
}

} // namespace Fuchsiastep

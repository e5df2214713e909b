#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>

#include <algorithm>
#include <cstdint>

namespace Fuchsiastep {

/// Exponential backoff with full jitter and a cap: a wait is drawn from zero to a limit that doubles with each failure.
class Backoff
{
public:
    Backoff(Duration base, Duration cap) : m_base(base), m_cap(cap)
    { }

    /// Records a failure and draws the wait before the next try.
    Duration next(Random &random)
    {
        constexpr std::uint32_t MaximumDoublings = 20;
        const Duration limit = std::min(m_cap, m_base * (std::int64_t(1) << std::min(m_failures, MaximumDoublings)));
        ++m_failures;
        return random.jitter(limit);
    }
    void reset()
    {
        m_failures = 0;
    }

private:
    Duration m_base;
    Duration m_cap;
    std::uint32_t m_failures = 0;
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>

#include <algorithm>

namespace Fuchsiastep {

/// Exponential backoff with full jitter and a cap. Full jitter spreads members that failed at the same moment evenly.
class RetryBackoff
{
public:
    RetryBackoff(Duration first, Duration cap) : m_first(first), m_cap(cap), m_limit(first)
    { }

    /// The time to wait before the next attempt.
    Duration next(Random &random)
    {
        const Duration wait = random.jitter(m_limit);
        m_limit = std::min(m_limit * 2, m_cap);
        return wait;
    }
    void reset()
    {
        m_limit = m_first;
    }

private:
    Duration m_first;
    Duration m_cap;
    Duration m_limit;
};

} // namespace Fuchsiastep

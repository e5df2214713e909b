#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <random>

namespace Fuchsiastep {

/// Seeded random numbers. Decision code draws from here only, so that a seed repeats a run.
class Random
{
public:
    explicit Random(std::uint64_t seed) : m_engine(seed)
    { }
    /// A generator seeded by the operating system.
    static Random fromSystem();

    std::uint64_t next();
    /// A number in [0, bound). \a bound must not be 0.
    std::size_t below(std::size_t bound);
    /// A number in [0, 1).
    double unit();
    bool chance(double probability);
    /// A duration in [0, limit], used for full jitter.
    Duration jitter(Duration limit);

private:
    std::mt19937_64 m_engine;
};

} // namespace Fuchsiastep

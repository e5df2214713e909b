#include <LibCore/Random.h>

namespace Fuchsiastep {

Random Random::fromSystem()
{
    std::random_device device;
    return Random((static_cast<std::uint64_t>(device()) << 32) | device());
}

std::uint64_t Random::next()
{
    return m_engine();
}

std::size_t Random::below(std::size_t bound)
{
    return static_cast<std::size_t>(m_engine() % bound);
}

double Random::unit()
{
    constexpr int MantissaBits = 53;
    return static_cast<double>(m_engine() >> (64 - MantissaBits)) / static_cast<double>(1ULL << MantissaBits);
}

bool Random::chance(double probability)
{
    return unit() < probability;
}

Duration Random::jitter(Duration limit)
{
    if (limit.count() <= 0) {
        return Duration(0);
    }
    return Duration(static_cast<Duration::rep>(below(static_cast<std::size_t>(limit.count()) + 1)));
}

} // namespace Fuchsiastep

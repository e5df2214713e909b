#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace Fuchsiastep {

/// Bytes a second that large answers leave the instance with, measured while more of them wait than may be on their way.
class TransferRate
{
public:
    /// \a linkBytesPerSecond is what the link is said to carry; 0 where that is not known.
    TransferRate(double linkBytesPerSecond, const Clock &clock) : m_clock(clock), m_bytesPerSecond(linkBytesPerSecond)
    { }

    /// Transfers wait, or no longer do. Only what leaves meanwhile tells the capacity of the link.
    void setSaturated(bool isSaturated);
    void recordDelivered(std::uint64_t bytes);

    /// 0 where the link's rate is not known and it was never saturated.
    double bytesPerSecond() const
    {
        return m_bytesPerSecond;
    }

private:
    void sample();

    /// Time that one sample covers; shorter ones follow single acknowledgements.
    static constexpr Duration SampleTime = std::chrono::milliseconds(200);
    static constexpr double SampleWeight = 0.3;

    const Clock &m_clock;
    bool m_isSaturated = false;
    TimePoint m_sampledAt;
    std::uint64_t m_delivered = 0;
    double m_bytesPerSecond;
};

} // namespace Fuchsiastep

#include <LibRequest/TransferRate.h>

namespace Fuchsiastep {

void TransferRate::setSaturated(bool isSaturated)
{
    if (isSaturated && !m_isSaturated) {
        m_sampledAt = m_clock.now();
        m_delivered = 0;
    }
    m_isSaturated = isSaturated;
}

void TransferRate::recordDelivered(std::uint64_t bytes)
{
    if (!m_isSaturated) {
        return;
    }
    m_delivered += bytes;
    if (m_clock.now() >= m_sampledAt + SampleTime) {
        sample();
    }
}

void TransferRate::sample()
{
    const double seconds = std::chrono::duration<double>(m_clock.now() - m_sampledAt).count();
    const double measured = static_cast<double>(m_delivered) / seconds;
    m_bytesPerSecond = m_bytesPerSecond > 0 ? m_bytesPerSecond + SampleWeight * (measured - m_bytesPerSecond) : measured;
    m_sampledAt = m_clock.now();
    m_delivered = 0;
}

} // namespace Fuchsiastep

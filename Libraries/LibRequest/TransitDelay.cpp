#include <LibRequest/TransitDelay.h>

#include <algorithm>

namespace Fuchsiastep {

Duration TransitDelay::record(std::uint64_t sentMs, std::uint64_t receivedMs)
{
    const double offsetMs = static_cast<double>(receivedMs) - static_cast<double>(sentMs);
    if (!m_fastestMs) {
        m_fastestMs = offsetMs;
    }
    const double elapsedMs = static_cast<double>(std::max(receivedMs, m_receivedMs) - m_receivedMs);
    m_fastestMs = std::min(offsetMs, *m_fastestMs + DriftShare * elapsedMs);
    m_receivedMs = receivedMs;
    return std::chrono::milliseconds(static_cast<std::int64_t>(offsetMs - *m_fastestMs));
}

} // namespace Fuchsiastep

#include <LibRequest/TransferForecast.h>

#include <algorithm>

namespace Fuchsiastep {

double TransferForecast::expectedBytes(const std::string &selector) const
{
    const double bytes = m_sizes.meanOf(selector);
    return bytes < m_largeBytes ? 0 : bytes;
}

Duration TransferForecast::timeToLeave(Duration readyAfter, double bytes) const
{
    return bytes > 0 ? std::max(readyAfter, wait()) + timeFor(bytes) : readyAfter;
}

Duration TransferForecast::timeFor(double bytes) const
{
    constexpr double BytesPerMegabyte = 1e6;
    return scaled(m_backlog.perMegabyte, bytes / BytesPerMegabyte);
}

} // namespace Fuchsiastep

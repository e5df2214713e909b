#pragma once

#include <LibLab/LibLab.h>

#include <deque>
#include <optional>

namespace Fuchsiastep {

/// Follows the reads that the platform stand-in counts.
class ReadRateWatch
{
public:
    explicit ReadRateWatch(FleetClient &client);

    /// Takes a sample of the counters.
    void sample();
    /// Reads since the first sample.
    std::uint64_t reads() const;
    /// Most reads within one second between samples.
    double peakPerSecond() const
    {
        return m_peak;
    }
    /// Mean rate over all samples.
    double meanPerSecond() const;

private:
    struct Sample
    {
        TimePoint at;
        std::uint64_t reads;
    };

    FleetClient &m_client;
    Clock m_clock = Clock::system();
    std::optional<Sample> m_first;
    std::deque<Sample> m_window;
    double m_peak = 0;
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <string>
#include <unordered_map>

namespace Fuchsiastep {

/// Mean time that an upstream takes for the requests of each selector, and the share of its runs that fail. The recent
/// runs count most.
class ServiceTimes
{
public:
    struct Settings
    {
        /// Weight of a new sample in a mean.
        double sampleWeight = 0.1;
        /// Selectors remembered; further ones share the mean of all.
        std::size_t maximumSelectors = 1024;
    };

    explicit ServiceTimes(const Settings &settings) : m_settings(settings)
    { }

    void recordSuccess(const std::string &selector, Duration elapsed);
    /// A run that failed or was given up. \a elapsed counts where it is longer than the mean: the run would have taken
    /// longer still.
    void recordFailure(const std::string &selector, Duration elapsed);

    /// Mean of all runs; 0 where there were none.
    Duration mean() const
    {
        return m_all.mean;
    }
    /// Mean of the selector's runs, or of all where the selector is not known.
    Duration meanOf(const std::string &selector) const;
    /// A time that most runs of the selector keep: the mean and the mean deviation from it.
    Duration likelyOf(const std::string &selector) const;
    /// From 0 to 1.
    double failureShare() const
    {
        return m_failureShare;
    }

private:
    struct Samples
    {
        Duration mean {0};
        Duration deviation {0};
    };

    void sample(Samples &samples, Duration value) const;
    void record(const std::string &selector, Duration elapsed);

    Settings m_settings;
    Samples m_all;
    double m_failureShare = 0;
    std::unordered_map<std::string, Samples> m_bySelector;
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// Counters, gauges and latency histograms of one process, written in the Prometheus text format.
/// Histograms are kept by Boost.Histogram with logarithmic bins from 50 us to 10 s.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    /// Adds to a counter. \a labels is the label part as it is written, without braces: service="order-desk".
    void count(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);
    void setGauge(std::string_view name, double value, std::string_view labels = {});
    void observe(std::string_view name, Duration duration, std::string_view labels = {});

    std::uint64_t counter(std::string_view name, std::string_view labels = {}) const;

    /// The whole content in the Prometheus text exposition format, version 0.0.4.
    std::string toText() const;

private:
    struct Content;
    std::unique_ptr<Content> m_content;
};

} // namespace Fuchsiastep

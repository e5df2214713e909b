#include <LibCore/MetricsRegistry.h>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <map>
#include <sstream>
#include <utility>

namespace Fuchsiastep {

namespace {

constexpr unsigned BinCount = 24;
constexpr double LowestBinMicroseconds = 50;
constexpr double HighestBinMicroseconds = 10'000'000;
constexpr double MicrosecondsPerSecond = 1e6;

using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyBins = decltype(boost::histogram::make_histogram(std::declval<LatencyAxis>()));

struct LatencyHistogram
{
    LatencyBins bins = boost::histogram::make_histogram(LatencyAxis(BinCount, LowestBinMicroseconds, HighestBinMicroseconds));
    double sumSeconds = 0;
    std::uint64_t count = 0;
};

using MetricKey = std::pair<std::string, std::string>;

std::string sampleName(const MetricKey &key, std::string_view suffix = {})
{
    std::string name = key.first + std::string(suffix);
    return key.second.empty() ? name : name + '{' + key.second + '}';
}

void writeHistogram(std::ostringstream &text, const MetricKey &key, const LatencyHistogram &histogram)
{
    const std::string prefix = key.second.empty() ? std::string() : key.second + ',';
    // The Prometheus format wants cumulative buckets; the underflow bin of the axis belongs to the first.
    auto cumulative = static_cast<std::uint64_t>(histogram.bins.at(-1));
    for (unsigned bin = 0; bin < BinCount; ++bin) {
        const int index = static_cast<int>(bin);
        cumulative += static_cast<std::uint64_t>(histogram.bins.at(index));
        const double upper = histogram.bins.axis(0).bin(index).upper() / MicrosecondsPerSecond;
        text << key.first << "_bucket{" << prefix << "le=\"" << upper << "\"} " << cumulative << '\n';
    }
    text << key.first << "_bucket{" << prefix << "le=\"+Inf\"} " << histogram.count << '\n';
    text << sampleName(key, "_sum") << ' ' << histogram.sumSeconds << '\n';
    text << sampleName(key, "_count") << ' ' << histogram.count << '\n';
}

} // namespace

struct MetricsRegistry::Content
{
    std::map<MetricKey, std::uint64_t> counters;
    std::map<MetricKey, double> gauges;
    std::map<MetricKey, LatencyHistogram> histograms;
};

MetricsRegistry::MetricsRegistry() : m_content(std::make_unique<Content>())
{ }

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::count(std::string_view name, std::string_view labels, std::uint64_t amount)
{
    m_content->counters[{std::string(name), std::string(labels)}] += amount;
}

void MetricsRegistry::setGauge(std::string_view name, double value, std::string_view labels)
{
    m_content->gauges[{std::string(name), std::string(labels)}] = value;
}

void MetricsRegistry::observe(std::string_view name, Duration duration, std::string_view labels)
{
    LatencyHistogram &histogram = m_content->histograms[{std::string(name), std::string(labels)}];
    histogram.bins(static_cast<double>(duration.count()));
    histogram.sumSeconds += static_cast<double>(duration.count()) / MicrosecondsPerSecond;
    ++histogram.count;
}

std::uint64_t MetricsRegistry::counter(std::string_view name, std::string_view labels) const
{
    const auto row = m_content->counters.find({std::string(name), std::string(labels)});
    return row == m_content->counters.end() ? 0 : row->second;
}

std::string MetricsRegistry::toText() const
{
    std::ostringstream text;
    std::string typed;
    const auto writeType = [&](const std::string &name, std::string_view type) {
        if (name != typed) {
            text << "# TYPE " << name << ' ' << type << '\n';
            typed = name;
        }
    };
    for (const auto &[key, value] : m_content->counters) {
        writeType(key.first, "counter");
        text << sampleName(key) << ' ' << value << '\n';
    }
    for (const auto &[key, value] : m_content->gauges) {
        writeType(key.first, "gauge");
        text << sampleName(key) << ' ' << value << '\n';
    }
    for (const auto &[key, histogram] : m_content->histograms) {
        writeType(key.first, "histogram");
        writeHistogram(text, key, histogram);
    }
    return text.str();
}

} // namespace Fuchsiastep

#include <LibRollout/RunCounts.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Fuchsiastep {

void RunCounts::addFailure()
{
    ++runs;
    ++failures;
}

void RunCounts::addColdRun()
{
    ++runs;
}

void RunCounts::addRun(Duration time)
{
    ++runs;
    const double milliseconds = std::max(1.0, std::chrono::duration<double, std::milli>(time).count());
    const auto bucket = static_cast<std::size_t>(std::log2(milliseconds) * static_cast<double>(BucketsPerDoubling));
    ++times.at(std::min(bucket, BucketCount - 1));
}

RunCounts &RunCounts::operator+=(const RunCounts &other)
{
    runs += other.runs;
    failures += other.failures;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        times.at(bucket) += other.times.at(bucket);
    }
    return *this;
}

std::uint64_t RunCounts::timed() const
{
    return std::accumulate(times.begin(), times.end(), std::uint64_t(0));
}

std::size_t RunCounts::medianBucket() const
{
    const std::uint64_t half = (timed() + 1) / 2;
    std::uint64_t sum = 0;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        sum += times.at(bucket);
        if (sum >= half) {
            return bucket;
        }
    }
    return BucketCount - 1;
}

std::uint64_t RunCounts::timedFrom(std::size_t bucket) const
{
    return bucket >= BucketCount ? 0 : std::accumulate(times.begin() + static_cast<std::ptrdiff_t>(bucket), times.end(), std::uint64_t(0));
}

} // namespace Fuchsiastep

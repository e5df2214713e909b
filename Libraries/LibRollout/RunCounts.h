#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Fuchsiastep {

/// Runs of one version on one route, with the distribution of their times. Counts only grow, so that sums of the counts of
/// many proxies follow from the last one of each.
struct RunCounts
{
    /// Four buckets for each doubling of the time, from 1 ms to about 16 s.
    static constexpr std::size_t BucketsPerDoubling = 4;
    static constexpr std::size_t BucketCount = 56;

    std::uint64_t runs = 0;
    std::uint64_t failures = 0;
    /// Runs on warm upstreams by their time.
    std::array<std::uint32_t, BucketCount> times {};

    void addFailure();
    /// Runs on cold upstreams are slow without a fault.
    void addColdRun();
    void addRun(Duration time);

    RunCounts &operator+=(const RunCounts &other);
    bool operator==(const RunCounts &) const = default;

    /// Runs with a time.
    std::uint64_t timed() const;
    /// Bucket below which half of the timed runs lie.
    std::size_t medianBucket() const;
    /// Timed runs in this bucket and above.
    std::uint64_t timedFrom(std::size_t bucket) const;
};

} // namespace Fuchsiastep

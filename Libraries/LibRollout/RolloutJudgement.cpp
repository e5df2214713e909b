#include <LibRollout/RolloutJudgement.h>

namespace Fuchsiastep {

/// Least number of bad runs that show a fault. Callers bear fifty before the roll-out has to end.
static constexpr std::uint64_t LeastBadRuns = 10;
/// Further share of bad runs that the new version has where it is faulty.
static constexpr double FailureMargin = 0.2;
static constexpr double SlownessMargin = 0.15;
/// A run is slow where it takes about five times the median of the old version. A healthy run on an upstream of half the usual
/// speed rarely does.
static constexpr std::size_t SlowBuckets = 9;
/// Runs of the old version that make its median known.
static constexpr std::uint64_t LeastOldRuns = 20;

static double shareOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

static bool hasFailures(const VersionRuns &runs)
{
    return runs.newVersion.failures >= LeastBadRuns
        && shareOf(runs.newVersion.failures, runs.newVersion.runs)
        >= shareOf(runs.oldVersion.failures, runs.oldVersion.runs) + FailureMargin;
}

static bool isSlow(const VersionRuns &runs)
{
    if (runs.oldVersion.timed() < LeastOldRuns) {
        return false;
    }
    const std::size_t slowFrom = runs.oldVersion.medianBucket() + SlowBuckets;
    const std::uint64_t slow = runs.newVersion.timedFrom(slowFrom);
    return slow >= LeastBadRuns
        && shareOf(slow, runs.newVersion.timed()) >= shareOf(runs.oldVersion.timedFrom(slowFrom), runs.oldVersion.timed()) + SlownessMargin;
}

static std::string describeFailures(const RunCounts &counts)
{
    std::string text = "failures: ";
    text += std::to_string(counts.failures);
    text += " of ";
    text += std::to_string(counts.runs);
    return text;
}

static std::string faultOf(const VersionRuns &runs)
{
    if (hasFailures(runs)) {
        return describeFailures(runs.newVersion);
    }
    return isSlow(runs) ? "slow answers" : "";
}

RolloutVerdict judgeRollout(const RouteRuns &routes)
{
    VersionRuns all;
    for (const auto &[selector, runs] : routes) {
        const std::string fault = faultOf(runs);
        if (!fault.empty()) {
            std::string reason = selector;
            reason += ": ";
            reason += fault;
            return {true, reason};
        }
        all.oldVersion += runs.oldVersion;
        all.newVersion += runs.newVersion;
    }
    // The times of routes differ, so that only failures can be compared in the sum.
    if (hasFailures(all)) {
        return {true, "all routes: " + describeFailures(all.newVersion)};
    }
    return {};
}

} // namespace Fuchsiastep

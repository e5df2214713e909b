#pragma once

#include <LibRollout/RunCounts.h>

#include <map>
#include <string>

namespace Fuchsiastep {

/// Runs of the old and the new version on one route, over the same time.
struct VersionRuns
{
    RunCounts oldVersion;
    RunCounts newVersion;
};

/// By selector.
using RouteRuns = std::map<std::string, VersionRuns>;

struct RolloutVerdict
{
    bool isBad = false;
    /// The route and the fault; empty where there is none.
    std::string reason;
};

/// Compares a new version with the old one, on each route alone and on all together. A fault on one route shows on that
/// route, and a fault of few requests on every route shows in the sum. Upstreams of one service differ in speed by a factor of
/// up to three, which must not count as a fault.
RolloutVerdict judgeRollout(const RouteRuns &routes);

} // namespace Fuchsiastep

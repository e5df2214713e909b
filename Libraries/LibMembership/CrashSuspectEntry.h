#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// A request fingerprint that was in flight when upstreams crashed. Membership only carries it.
struct CrashSuspectEntry
{
    std::uint64_t fingerprint = 0;
    /// Crashes during which the request was in flight; LibRouting adds a weight for those while it ran alone. 0 for
    /// an acquittal: the request ran alone to its end.
    std::uint32_t count = 0;
    /// Wall-clock time of the latest crash in milliseconds since the Unix epoch.
    std::int64_t unixMilliseconds = 0;
    /// The request crashed an upstream while it ran alone.
    bool isBlamed = false;

    bool operator==(const CrashSuspectEntry &) const = default;
};

/// What two proxies know together about one fingerprint. The result does not depend on the order of merging.
CrashSuspectEntry mergedCrashSuspect(const CrashSuspectEntry &left, const CrashSuspectEntry &right);

} // namespace Fuchsiastep

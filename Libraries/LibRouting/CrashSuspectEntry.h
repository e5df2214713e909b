#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// What one proxy tells others about a request that was in flight when upstreams crashed.
struct CrashSuspectEntry
{
    /// See requestFingerprint().
    std::uint64_t fingerprint = 0;
    /// Crashes with the request in flight. A crash while it ran alone adds AloneCrashWeight. 0 for an acquittal:
    /// the request ran alone to its end.
    std::uint32_t crashCount = 0;
    /// Wall-clock time of the last crash or of the acquittal, in milliseconds since the Unix epoch.
    std::int64_t unixMilliseconds = 0;
    /// The request crashed an upstream while alone and is held off.
    bool isBlamed = false;

    /// Keeps crashes while alone apart from others in one counter.
    static constexpr std::uint32_t AloneCrashWeight = 1000;

    bool operator==(const CrashSuspectEntry &) const = default;
};

} // namespace Fuchsiastep

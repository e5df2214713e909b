#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Fuchsiastep {

/// One crash of an upstream during which a request was in flight.
struct CrashRecord
{
    /// Equal on every proxy that knows of the crash.
    std::uint64_t crashId = 0;
    /// Time since the crash. Each proxy lets it grow by its own steady clock, since wall clocks differ and jump.
    Duration age {0};
    /// No other request was in flight.
    bool wasAlone = false;
    /// The request has run alone to its end after the crash.
    bool isAcquitted = false;

    bool operator==(const CrashRecord &) const = default;
};

/// The crashes during which requests with one fingerprint were in flight.
struct CrashSuspectEntry
{
    /// More crashes change no decision.
    static constexpr std::size_t MaximumCrashes = 8;

    std::uint64_t fingerprint = 0;
    /// In ascending order of the ids.
    std::vector<CrashRecord> crashes;

    bool operator==(const CrashSuspectEntry &) const = default;

    /// Crashes that are not acquitted.
    std::size_t openCrashes() const;
    /// Those of them during which the request was alone.
    std::size_t openCrashesAlone() const;
    /// Age of the latest crash.
    Duration sinceLastCrash() const;
    /// The entry as it is \a time later.
    CrashSuspectEntry aged(Duration time) const;
    /// Equal but for the ages.
    bool hasSameCrashes(const CrashSuspectEntry &other) const;
};

/// What two proxies know together about one fingerprint: each crash once, whoever has seen it. The result does not depend
/// on the order of merging, up to MaximumCrashes; beyond that, crashes that count against the request are kept.
CrashSuspectEntry mergedCrashSuspect(const CrashSuspectEntry &left, const CrashSuspectEntry &right);

} // namespace Fuchsiastep

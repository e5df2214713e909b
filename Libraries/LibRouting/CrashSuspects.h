#pragma once

#include <LibCore/LibCore.h>
#include <LibMembership/CrashSuspectEntry.h>

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace Fuchsiastep {

/// Finds requests that crash each upstream that runs them. After two crashes with a request in flight it may only run
/// alone; when it crashes an upstream while alone it is blamed and held off for a growing time. Each crash counts once,
/// whichever proxies have seen it.
class CrashSuspects
{
public:
    struct Settings
    {
        /// Crashes after which a request must run alone.
        std::size_t isolationThreshold = 2;
        Duration holdOff = std::chrono::seconds(60);
        Duration maximumHoldOff = std::chrono::minutes(60);
        /// An entry without a new crash is forgotten after this time, counted from the end of its hold-off.
        Duration memory = std::chrono::minutes(10);
        /// While other upstreams crash without this request in flight, one crash alone may be a coincidence,
        /// and blame needs two.
        Duration burstWindow = std::chrono::seconds(30);
        std::size_t maximumEntries = 4096;
    };

    CrashSuspects(const Settings &settings, const Clock &clock);

    /// An upstream crashed while these requests were in flight. \a wasAlone: there was only one. The caller side and the
    /// upstream side tell of the same crash, with the same id.
    void recordCrash(std::uint64_t crashId, const std::vector<std::uint64_t> &fingerprints, bool wasAlone);
    /// The request ran to its end. A run in isolation acquits it of the crashes known now; a run beside others proves
    /// nothing, or a request that crashes only some of its upstreams would clear itself between two crashes.
    void recordCompletion(std::uint64_t fingerprint, bool wasIsolated);

    bool isSuspect(std::uint64_t fingerprint) const;
    bool mustRunAlone(std::uint64_t fingerprint) const;
    /// True while the request is answered as not run without being tried.
    bool isHeldOff(std::uint64_t fingerprint) const;
    /// Remaining hold-off of the request; 0 where it is not held off.
    Duration holdOffLeft(std::uint64_t fingerprint) const;
    /// No request is suspected; callers may skip computing fingerprints.
    bool isEmpty() const;
    std::size_t size() const;

    /// Takes over what another proxy knows.
    void merge(const std::vector<CrashSuspectEntry> &entries);
    /// Entries that changed since the last call, at most \a limit, oldest change first.
    std::vector<CrashSuspectEntry> takeChanges(std::size_t limit);
    /// Every entry as it is now.
    std::vector<CrashSuspectEntry> entries() const;

private:
    struct Known
    {
        CrashSuspectEntry entry;
        /// When the ages of the entry were right.
        TimePoint at;
    };
    struct Crash
    {
        std::uint64_t crashId = 0;
        TimePoint at;
    };

    CrashSuspectEntry current(const Known &known) const;
    Duration holdOffOf(const CrashSuspectEntry &entry) const;
    bool isBlamed(const CrashSuspectEntry &entry) const;
    bool isForgotten(const CrashSuspectEntry &entry) const;
    /// Nothing where the fingerprint is not known, or no longer.
    std::optional<CrashSuspectEntry> find(std::uint64_t fingerprint) const;
    bool hasCrashWithout(const CrashSuspectEntry &entry) const;
    void noteCrash(std::uint64_t crashId, Duration age);
    void mergeEntry(const CrashSuspectEntry &entry);
    void makeRoom();

    Settings m_settings;
    const Clock &m_clock;
    std::unordered_map<std::uint64_t, Known> m_entries;
    std::deque<std::uint64_t> m_changes;
    /// Crashes within the burst window, whatever was in flight.
    std::deque<Crash> m_recentCrashes;
};

} // namespace Fuchsiastep

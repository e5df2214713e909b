#pragma once

#include <LibCore/LibCore.h>
#include <LibMembership/CrashSuspectEntry.h>

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fuchsiastep {

/// Finds requests that crash each upstream that runs them. After two crashes with a request in flight it may
/// only run alone; when it crashes an upstream while alone it is blamed and held off for a growing time.
class CrashSuspects
{
public:
    /// A crash of an upstream on which the request ran alone adds this to CrashSuspectEntry::count, so that one
    /// counter keeps both kinds apart. Count 0 is an acquittal: the request ran alone to its end.
    static constexpr std::uint32_t AloneCrashWeight = 1000;

    struct Settings
    {
        /// Crashes after which a request must run alone.
        std::uint32_t isolationThreshold = 2;
        Duration holdOff = std::chrono::seconds(60);
        Duration maximumHoldOff = std::chrono::minutes(60);
        /// An entry without a new crash is forgotten after this time, counted from the end of its hold-off.
        Duration memory = std::chrono::minutes(10);
        /// An acquittal is remembered for this time, so that older word of other proxies does not undo it.
        Duration acquittalMemory = std::chrono::seconds(60);
        /// While other upstreams crash without this request in flight, one crash alone may be a coincidence,
        /// and blame needs two.
        Duration burstWindow = std::chrono::seconds(30);
        Duration sameCrash = std::chrono::milliseconds(500);
        std::size_t maximumEntries = 4096;
    };

    CrashSuspects(const Settings &settings, const Clock &clock);

    /// An upstream crashed while these requests were in flight. \a wasAlone: the only one ran in isolation.
    /// A crash that is reported again within Settings::sameCrash, by the caller side and the upstream side or
    /// request by request, is one crash.
    void recordCrash(const std::string &upstreamId, const std::vector<std::uint64_t> &fingerprints, bool wasAlone);
    /// The request ran to its end. A run in isolation acquits it; a run beside others proves nothing, or a
    /// request that crashes only some of its upstreams would clear itself between two crashes.
    void recordCompletion(std::uint64_t fingerprint, bool wasIsolated);

    bool isSuspect(std::uint64_t fingerprint) const;
    bool mustRunAlone(std::uint64_t fingerprint) const;
    /// True while the request is answered as not run without being tried.
    bool isHeldOff(std::uint64_t fingerprint) const;
    /// No request is suspected; callers may skip computing fingerprints.
    bool isEmpty() const;
    std::size_t size() const;

    /// Takes over what another proxy knows.
    void merge(const std::vector<CrashSuspectEntry> &entries);
    /// Entries that changed since the last call, at most \a limit, oldest change first.
    std::vector<CrashSuspectEntry> takeChanges(std::size_t limit);
    /// Every entry, for a joining member.
    std::vector<CrashSuspectEntry> entries() const;

private:
    struct Record
    {
        std::uint32_t crashCount = 0;
        /// Wall-clock milliseconds of the last crash or acquittal.
        std::int64_t unixMilliseconds = 0;
        bool isBlamed = false;
    };

    std::int64_t holdOffMilliseconds(const Record &record) const;
    bool isForgotten(const Record &record) const;
    const Record *find(std::uint64_t fingerprint) const;
    /// The fingerprints that this crash has not been counted for yet.
    std::vector<std::uint64_t> addCrash(const std::string &upstreamId, const std::vector<std::uint64_t> &fingerprints);
    bool hasCrashWithout(std::uint64_t fingerprint) const;
    void store(std::uint64_t fingerprint, const Record &record);
    void makeRoom();

    Settings m_settings;
    const Clock &m_clock;
    std::unordered_map<std::uint64_t, Record> m_records;
    std::deque<std::uint64_t> m_changes;
    struct Crash
    {
        std::string upstreamId;
        TimePoint at;
        std::vector<std::uint64_t> fingerprints;
    };
    std::deque<Crash> m_recentCrashes;
};

} // namespace Fuchsiastep

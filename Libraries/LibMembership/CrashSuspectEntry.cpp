#include <LibMembership/CrashSuspectEntry.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace Fuchsiastep {

std::size_t CrashSuspectEntry::openCrashes() const
{
    return static_cast<std::size_t>(
        std::count_if(crashes.begin(), crashes.end(), [](const CrashRecord &crash) { return !crash.isAcquitted; }));
}

std::size_t CrashSuspectEntry::openCrashesAlone() const
{
    const auto isOpenAlone = [](const CrashRecord &crash) {
        return crash.wasAlone && !crash.isAcquitted;
    };
    return static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), isOpenAlone));
}

Duration CrashSuspectEntry::sinceLastCrash() const
{
    Duration least = Duration::max();
    for (const CrashRecord &crash : crashes) {
        least = std::min(least, crash.age);
    }
    return least;
}

CrashSuspectEntry CrashSuspectEntry::aged(Duration time) const
{
    CrashSuspectEntry entry = *this;
    for (CrashRecord &crash : entry.crashes) {
        crash.age += time;
    }
    return entry;
}

bool CrashSuspectEntry::hasSameCrashes(const CrashSuspectEntry &other) const
{
    const auto isSame = [](const CrashRecord &left, const CrashRecord &right) {
        return std::tie(left.crashId, left.wasAlone, left.isAcquitted) == std::tie(right.crashId, right.wasAlone, right.isAcquitted);
    };
    return fingerprint == other.fingerprint
        && std::equal(crashes.begin(), crashes.end(), other.crashes.begin(), other.crashes.end(), isSame);
}

CrashSuspectEntry mergedCrashSuspect(const CrashSuspectEntry &left, const CrashSuspectEntry &right)
{
    std::map<std::uint64_t, CrashRecord> byId;
    for (const CrashSuspectEntry *entry : {&left, &right}) {
        for (const CrashRecord &crash : entry->crashes) {
            CrashRecord &merged = byId.try_emplace(crash.crashId, crash).first->second;
            // The time that a record spends on its way is missing in its age.
            merged.age = std::max(merged.age, crash.age);
            merged.wasAlone = merged.wasAlone || crash.wasAlone;
            merged.isAcquitted = merged.isAcquitted || crash.isAcquitted;
        }
    }
    CrashSuspectEntry merged {left.fingerprint, {}};
    for (const auto &[id, crash] : byId) {
        merged.crashes.push_back(crash);
    }
    if (merged.crashes.size() > CrashSuspectEntry::MaximumCrashes) {
        const auto rank = [](const CrashRecord &crash) {
            return std::tuple(crash.isAcquitted, !crash.wasAlone, crash.crashId);
        };
        std::sort(merged.crashes.begin(), merged.crashes.end(), [&](const CrashRecord &first, const CrashRecord &second) {
            return rank(first) < rank(second);
        });
        merged.crashes.resize(CrashSuspectEntry::MaximumCrashes);
        std::sort(merged.crashes.begin(), merged.crashes.end(), [](const CrashRecord &first, const CrashRecord &second) {
            return first.crashId < second.crashId;
        });
    }
    return merged;
}

} // namespace Fuchsiastep

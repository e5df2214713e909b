#include <LibRouting/CrashSuspects.h>

#include <algorithm>
#include <tuple>

namespace Fuchsiastep {

// Crashes kept to tell a burst from a single killer; more would say the same.
static constexpr std::size_t MaximumRecentCrashes = 64;

static std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

CrashSuspects::CrashSuspects(const Settings &settings, const Clock &clock) : m_settings(settings), m_clock(clock)
{ }

void CrashSuspects::recordCrash(const std::string &upstreamId, const std::vector<std::uint64_t> &fingerprints, bool wasAlone)
{
    for (const std::uint64_t fingerprint : addCrash(upstreamId, fingerprints)) {
        const Record *known = find(fingerprint);
        Record record = known != nullptr ? *known : Record {};
        record.crashCount += wasAlone ? AloneCrashWeight : 1;
        const std::uint32_t needed = hasCrashWithout(fingerprint) ? 2 : 1;
        record.isBlamed = record.isBlamed || record.crashCount / AloneCrashWeight >= needed;
        record.unixMilliseconds = m_clock.unixMilliseconds();
        store(fingerprint, record);
    }
}

void CrashSuspects::recordCompletion(std::uint64_t fingerprint, bool wasIsolated)
{
    if (wasIsolated && isSuspect(fingerprint)) {
        store(fingerprint, {0, m_clock.unixMilliseconds(), false});
    }
}

bool CrashSuspects::isSuspect(std::uint64_t fingerprint) const
{
    const Record *record = find(fingerprint);
    return record != nullptr && record->crashCount > 0;
}

bool CrashSuspects::mustRunAlone(std::uint64_t fingerprint) const
{
    const Record *record = find(fingerprint);
    return record != nullptr && record->crashCount >= m_settings.isolationThreshold;
}

bool CrashSuspects::isHeldOff(std::uint64_t fingerprint) const
{
    const Record *record = find(fingerprint);
    return record != nullptr && record->isBlamed && m_clock.unixMilliseconds() < record->unixMilliseconds + holdOffMilliseconds(*record);
}

bool CrashSuspects::isEmpty() const
{
    return m_records.empty();
}

std::size_t CrashSuspects::size() const
{
    return m_records.size();
}

void CrashSuspects::merge(const std::vector<CrashSuspectEntry> &entries)
{
    const std::int64_t now = m_clock.unixMilliseconds();
    for (const CrashSuspectEntry &entry : entries) {
        // A clock that runs ahead elsewhere must not lengthen the hold-off here.
        const Record incoming {entry.count, std::min(entry.unixMilliseconds, now), entry.isBlamed};
        const Record *known = find(entry.fingerprint);
        if (isForgotten(incoming)) {
            continue;
        }
        if (known == nullptr) {
            store(entry.fingerprint, incoming);
            continue;
        }
        const auto toEntry = [&](const Record &record) {
            return CrashSuspectEntry {entry.fingerprint, record.crashCount, record.unixMilliseconds, record.isBlamed};
        };
        const CrashSuspectEntry merged = mergedCrashSuspect(toEntry(*known), toEntry(incoming));
        if (merged != toEntry(*known)) {
            store(entry.fingerprint, {merged.count, merged.unixMilliseconds, merged.isBlamed});
        }
    }
}

std::vector<CrashSuspectEntry> CrashSuspects::takeChanges(std::size_t limit)
{
    std::vector<CrashSuspectEntry> changes;
    while (!m_changes.empty() && changes.size() < limit) {
        const std::uint64_t fingerprint = m_changes.front();
        m_changes.pop_front();
        if (const Record *record = find(fingerprint)) {
            changes.push_back({fingerprint, record->crashCount, record->unixMilliseconds, record->isBlamed});
        }
    }
    return changes;
}

std::vector<CrashSuspectEntry> CrashSuspects::entries() const
{
    std::vector<CrashSuspectEntry> all;
    for (const auto &[fingerprint, record] : m_records) {
        if (!isForgotten(record)) {
            all.push_back({fingerprint, record.crashCount, record.unixMilliseconds, record.isBlamed});
        }
    }
    return all;
}

std::int64_t CrashSuspects::holdOffMilliseconds(const Record &record) const
{
    if (!record.isBlamed) {
        return 0;
    }
    const std::int64_t limit = toMilliseconds(m_settings.maximumHoldOff);
    std::int64_t duration = toMilliseconds(m_settings.holdOff);
    for (std::uint32_t crash = record.crashCount / AloneCrashWeight; crash > 1 && duration < limit; --crash) {
        duration *= 2;
    }
    return std::min(duration, limit);
}

bool CrashSuspects::isForgotten(const Record &record) const
{
    const std::int64_t memory = toMilliseconds(record.crashCount == 0 ? m_settings.acquittalMemory : m_settings.memory);
    return m_clock.unixMilliseconds() > record.unixMilliseconds + holdOffMilliseconds(record) + memory;
}

const CrashSuspects::Record *CrashSuspects::find(std::uint64_t fingerprint) const
{
    if (m_records.empty()) {
        return nullptr;
    }
    const auto record = m_records.find(fingerprint);
    return record == m_records.end() || isForgotten(record->second) ? nullptr : &record->second;
}

std::vector<std::uint64_t> CrashSuspects::addCrash(const std::string &upstreamId, const std::vector<std::uint64_t> &fingerprints)
{
    const TimePoint now = m_clock.now();
    while (!m_recentCrashes.empty() && m_recentCrashes.front().at + m_settings.burstWindow < now) {
        m_recentCrashes.pop_front();
    }
    auto crash = std::find_if(m_recentCrashes.begin(), m_recentCrashes.end(), [&](const Crash &known) {
        return known.upstreamId == upstreamId && known.at + m_settings.sameCrash >= now;
    });
    if (crash == m_recentCrashes.end()) {
        if (m_recentCrashes.size() >= MaximumRecentCrashes) {
            m_recentCrashes.pop_front();
        }
        crash = m_recentCrashes.insert(m_recentCrashes.end(), Crash {upstreamId, now, {}});
    }
    std::vector<std::uint64_t> added;
    for (const std::uint64_t fingerprint : fingerprints) {
        if (std::find(crash->fingerprints.begin(), crash->fingerprints.end(), fingerprint) == crash->fingerprints.end()) {
            crash->fingerprints.push_back(fingerprint);
            added.push_back(fingerprint);
        }
    }
    return added;
}

bool CrashSuspects::hasCrashWithout(std::uint64_t fingerprint) const
{
    return std::any_of(m_recentCrashes.begin(), m_recentCrashes.end(), [&](const Crash &crash) {
        return crash.at + m_settings.burstWindow >= m_clock.now()
            && std::find(crash.fingerprints.begin(), crash.fingerprints.end(), fingerprint) == crash.fingerprints.end();
    });
}

void CrashSuspects::store(std::uint64_t fingerprint, const Record &record)
{
    if (!m_records.contains(fingerprint)) {
        makeRoom();
    }
    m_records[fingerprint] = record;
    if (std::find(m_changes.begin(), m_changes.end(), fingerprint) == m_changes.end()) {
        m_changes.push_back(fingerprint);
        if (m_changes.size() > m_settings.maximumEntries) {
            m_changes.pop_front();
        }
    }
}

void CrashSuspects::makeRoom()
{
    if (m_records.size() < m_settings.maximumEntries) {
        return;
    }
    std::erase_if(m_records, [this](const auto &item) { return isForgotten(item.second); });
    if (m_records.size() < m_settings.maximumEntries) {
        return;
    }
    // Blamed requests are kept longest, because forgetting one costs further upstreams.
    const auto victim = std::min_element(m_records.begin(), m_records.end(), [](const auto &left, const auto &right) {
        return std::tuple(left.second.isBlamed, left.second.crashCount, left.second.unixMilliseconds)
            < std::tuple(right.second.isBlamed, right.second.crashCount, right.second.unixMilliseconds);
    });
    m_records.erase(victim);
}

} // namespace Fuchsiastep

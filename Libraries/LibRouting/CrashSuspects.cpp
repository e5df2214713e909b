#include <LibRouting/CrashSuspects.h>

#include <algorithm>
#include <tuple>

namespace Fuchsiastep {

/// Recent crashes that are kept to distinguish a burst from a single cause.
static constexpr std::size_t MaximumRecentCrashes = 64;

CrashSuspects::CrashSuspects(const Settings &settings, const Clock &clock) : m_settings(settings), m_clock(clock)
{ }

void CrashSuspects::recordCrash(std::uint64_t crashId, const std::vector<std::uint64_t> &fingerprints, bool wasAlone)
{
    noteCrash(crashId, Duration(0));
    for (const std::uint64_t fingerprint : fingerprints) {
        mergeEntry({fingerprint, {{crashId, Duration(0), wasAlone, false}}});
    }
}

void CrashSuspects::recordCompletion(std::uint64_t fingerprint, bool wasIsolated)
{
    std::optional<CrashSuspectEntry> entry = find(fingerprint);
    if (!wasIsolated || !entry || entry->openCrashes() == 0) {
        return;
    }
    for (CrashRecord &crash : entry->crashes) {
        crash.isAcquitted = true;
    }
    mergeEntry(*entry);
}

bool CrashSuspects::isSuspect(std::uint64_t fingerprint) const
{
    const std::optional<CrashSuspectEntry> entry = find(fingerprint);
    return entry && entry->openCrashes() > 0;
}

bool CrashSuspects::mustRunAlone(std::uint64_t fingerprint) const
{
    const std::optional<CrashSuspectEntry> entry = find(fingerprint);
    return entry && entry->openCrashes() >= m_settings.isolationThreshold;
}

bool CrashSuspects::isHeldOff(std::uint64_t fingerprint) const
{
    return holdOffLeft(fingerprint) > Duration(0);
}

Duration CrashSuspects::holdOffLeft(std::uint64_t fingerprint) const
{
    const std::optional<CrashSuspectEntry> entry = find(fingerprint);
    return entry ? std::max(Duration(0), holdOffOf(*entry) - entry->sinceLastCrash()) : Duration(0);
}

bool CrashSuspects::isEmpty() const
{
    return m_entries.empty();
}

std::size_t CrashSuspects::size() const
{
    return m_entries.size();
}

void CrashSuspects::merge(const std::vector<CrashSuspectEntry> &entries)
{
    for (const CrashSuspectEntry &entry : entries) {
        if (entry.crashes.empty() || isForgotten(entry)) {
            continue;
        }
        for (const CrashRecord &crash : entry.crashes) {
            noteCrash(crash.crashId, crash.age);
        }
        mergeEntry(entry);
    }
}

std::vector<CrashSuspectEntry> CrashSuspects::takeChanges(std::size_t limit)
{
    std::vector<CrashSuspectEntry> changes;
    while (!m_changes.empty() && changes.size() < limit) {
        const std::uint64_t fingerprint = m_changes.front();
        m_changes.pop_front();
        if (std::optional<CrashSuspectEntry> entry = find(fingerprint)) {
            changes.push_back(std::move(*entry));
        }
    }
    return changes;
}

std::vector<CrashSuspectEntry> CrashSuspects::entries() const
{
    std::vector<CrashSuspectEntry> all;
    for (const auto &[fingerprint, known] : m_entries) {
        if (std::optional<CrashSuspectEntry> entry = find(fingerprint)) {
            all.push_back(std::move(*entry));
        }
    }
    return all;
}

CrashSuspectEntry CrashSuspects::current(const Known &known) const
{
    return known.entry.aged(m_clock.now() - known.at);
}

bool CrashSuspects::isBlamed(const CrashSuspectEntry &entry) const
{
    const std::size_t alone = entry.openCrashesAlone();
    return alone > 1 || (alone == 1 && !hasCrashWithout(entry));
}

Duration CrashSuspects::holdOffOf(const CrashSuspectEntry &entry) const
{
    if (!isBlamed(entry)) {
        return Duration(0);
    }
    Duration time = m_settings.holdOff;
    for (std::size_t crash = entry.openCrashesAlone(); crash > 1 && time < m_settings.maximumHoldOff; --crash) {
        time *= 2;
    }
    return std::min(time, m_settings.maximumHoldOff);
}

bool CrashSuspects::isForgotten(const CrashSuspectEntry &entry) const
{
    return entry.sinceLastCrash() > holdOffOf(entry) + m_settings.memory;
}

std::optional<CrashSuspectEntry> CrashSuspects::find(std::uint64_t fingerprint) const
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    CrashSuspectEntry entry = current(found->second);
    return isForgotten(entry) ? std::nullopt : std::optional(std::move(entry));
}

bool CrashSuspects::hasCrashWithout(const CrashSuspectEntry &entry) const
{
    return std::any_of(m_recentCrashes.begin(), m_recentCrashes.end(), [&](const Crash &recent) {
        const bool isRecent = recent.at + m_settings.burstWindow >= m_clock.now();
        return isRecent && std::none_of(entry.crashes.begin(), entry.crashes.end(), [&](const CrashRecord &crash) {
            return crash.crashId == recent.crashId;
        });
    });
}

void CrashSuspects::noteCrash(std::uint64_t crashId, Duration age)
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_recentCrashes, [&](const Crash &crash) { return crash.at + m_settings.burstWindow < now; });
    const bool isKnown =
        std::any_of(m_recentCrashes.begin(), m_recentCrashes.end(), [&](const Crash &crash) { return crash.crashId == crashId; });
    if (isKnown || age > m_settings.burstWindow) {
        return;
    }
    if (m_recentCrashes.size() >= MaximumRecentCrashes) {
        m_recentCrashes.pop_front();
    }
    m_recentCrashes.push_back({crashId, now - age});
}

void CrashSuspects::mergeEntry(const CrashSuspectEntry &entry)
{
    const auto found = m_entries.find(entry.fingerprint);
    const CrashSuspectEntry known = found == m_entries.end() ? CrashSuspectEntry {entry.fingerprint, {}} : current(found->second);
    const CrashSuspectEntry merged = mergedCrashSuspect(known, entry);
    const bool isChanged = !merged.hasSameCrashes(known);
    if (found == m_entries.end()) {
        makeRoom();
    }
    m_entries[entry.fingerprint] = {merged, m_clock.now()};
    if (isChanged && std::find(m_changes.begin(), m_changes.end(), entry.fingerprint) == m_changes.end()) {
        m_changes.push_back(entry.fingerprint);
        if (m_changes.size() > m_settings.maximumEntries) {
            m_changes.pop_front();
        }
    }
}

void CrashSuspects::makeRoom()
{
    if (m_entries.size() < m_settings.maximumEntries) {
        return;
    }
    std::erase_if(m_entries, [this](const auto &item) { return isForgotten(current(item.second)); });
    if (m_entries.size() < m_settings.maximumEntries) {
        return;
    }
    // Blamed requests are kept longest, because forgetting one costs further upstreams.
    const auto rank = [this](const Known &known) {
        const CrashSuspectEntry entry = current(known);
        return std::tuple(entry.openCrashesAlone(), entry.openCrashes(), -entry.sinceLastCrash().count());
    };
    const auto victim = std::min_element(
        m_entries.begin(), m_entries.end(), [&](const auto &left, const auto &right) { return rank(left.second) < rank(right.second); });
    m_entries.erase(victim);
}

} // namespace Fuchsiastep

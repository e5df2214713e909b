#include <LibMembership/CrashSuspectSet.h>

#include <algorithm>

namespace Fuchsiastep {

bool CrashSuspectSet::merge(const CrashSuspectEntry &entry)
{
    std::erase_if(m_entries, [this](const auto &item) { return current(item.second).sinceLastCrash() > MaximumAge; });
    if (entry.crashes.empty() || entry.sinceLastCrash() > MaximumAge) {
        return false;
    }
    const auto found = m_entries.find(entry.fingerprint);
    if (found == m_entries.end()) {
        if (!makeRoomFor(entry)) {
            return false;
        }
        m_entries.emplace(entry.fingerprint, Known {mergedCrashSuspect(entry, entry), m_clock.now(), ++m_revision});
        return true;
    }
    Known &known = found->second;
    const CrashSuspectEntry merged = mergedCrashSuspect(current(known), entry);
    const bool isChanged = !merged.hasSameCrashes(known.entry);
    known = {merged, m_clock.now(), isChanged ? ++m_revision : known.revision};
    return isChanged;
}

std::optional<CrashSuspectEntry> CrashSuspectSet::find(std::uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? std::nullopt : std::optional(current(found->second));
}

std::vector<CrashSuspectEntry> CrashSuspectSet::changedSince(std::uint64_t revision) const
{
    std::vector<CrashSuspectEntry> changed;
    for (const auto &[fingerprint, known] : m_entries) {
        if (known.revision > revision) {
            changed.push_back(current(known));
        }
    }
    return changed;
}

CrashSuspectEntry CrashSuspectSet::current(const Known &known) const
{
    return known.entry.aged(m_clock.now() - known.at);
}

bool CrashSuspectSet::makeRoomFor(const CrashSuspectEntry &entry)
{
    if (m_entries.size() < MaximumEntries) {
        return true;
    }
    const auto oldest = std::max_element(m_entries.begin(), m_entries.end(), [this](const auto &left, const auto &right) {
        return current(left.second).sinceLastCrash() < current(right.second).sinceLastCrash();
    });
    // An entry older than all others would otherwise replace a newer one each time that it is received.
    if (current(oldest->second).sinceLastCrash() <= entry.sinceLastCrash()) {
        return false;
    }
    m_entries.erase(oldest);
    return true;
}

} // namespace Fuchsiastep

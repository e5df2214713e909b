#include <LibMembership/CrashSuspectSet.h>

#include <algorithm>

namespace Fuchsiastep {

bool CrashSuspectSet::merge(const CrashSuspectEntry &entry)
{
    const auto found = m_entries.find(entry.fingerprint);
    if (found == m_entries.end()) {
        if (!makeRoomFor(entry)) {
            return false;
        }
        m_entries.emplace(entry.fingerprint, entry);
        return true;
    }
    const CrashSuspectEntry joined = mergedCrashSuspect(found->second, entry);
    const bool isChanged = joined != found->second;
    found->second = joined;
    return isChanged;
}

const CrashSuspectEntry *CrashSuspectSet::find(std::uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool CrashSuspectSet::makeRoomFor(const CrashSuspectEntry &entry)
{
    if (m_entries.size() < MaximumEntries) {
        return true;
    }
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
        return left.second.unixMilliseconds < right.second.unixMilliseconds;
    });
    // An entry older than all others would otherwise push out a newer one each time that it comes round.
    if (oldest->second.unixMilliseconds >= entry.unixMilliseconds) {
        return false;
    }
    m_entries.erase(oldest);
    return true;
}

} // namespace Fuchsiastep

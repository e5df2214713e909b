#pragma once

#include <LibMembership/CrashSuspectEntry.h>

#include <cstddef>
#include <map>

namespace Fuchsiastep {

/// The crash suspects that a proxy has heard of, bounded in number: the entry with the oldest crash goes first.
class CrashSuspectSet
{
public:
    static constexpr std::size_t MaximumEntries = 256;

    /// Merges \a entry with the entry of the same fingerprint; see mergedCrashSuspect().
    /// True where that changed the set, so that the entry is worth passing on.
    bool merge(const CrashSuspectEntry &entry);
    /// nullptr where the fingerprint is not in the set.
    const CrashSuspectEntry *find(std::uint64_t fingerprint) const;
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    bool makeRoomFor(const CrashSuspectEntry &entry);

    std::map<std::uint64_t, CrashSuspectEntry> m_entries;
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/CrashSuspectEntry.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Fuchsiastep {

/// The crash suspects that a proxy knows of, bounded in number: the entry with the oldest crash is dropped first.
class CrashSuspectSet
{
public:
    static constexpr std::size_t MaximumEntries = 256;
    /// An entry is dropped this long after its last crash: longer than any request is held off.
    static constexpr Duration MaximumAge = std::chrono::hours(2);

    explicit CrashSuspectSet(const Clock &clock) : m_clock(clock)
    { }

    /// Merges \a entry with the entry of the same fingerprint; see mergedCrashSuspect().
    /// True where that changed the set, so that the entry is worth passing on.
    bool merge(const CrashSuspectEntry &entry);
    /// The entry as it is now; nothing where the fingerprint is not in the set.
    std::optional<CrashSuspectEntry> find(std::uint64_t fingerprint) const;
    /// Every entry as it is now.
    std::vector<CrashSuspectEntry> entries() const
    {
        return changedSince(0);
    }
    /// The entries that changed after \a revision.
    std::vector<CrashSuspectEntry> changedSince(std::uint64_t revision) const;

    /// Counts the changes of the set.
    std::uint64_t revision() const
    {
        return m_revision;
    }
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Known
    {
        CrashSuspectEntry entry;
        /// When the ages of the entry were right.
        TimePoint at;
        std::uint64_t revision = 0;
    };

    CrashSuspectEntry current(const Known &known) const;
    bool makeRoomFor(const CrashSuspectEntry &entry);

    const Clock &m_clock;
    std::uint64_t m_revision = 0;
    std::map<std::uint64_t, Known> m_entries;
};

} // namespace Fuchsiastep

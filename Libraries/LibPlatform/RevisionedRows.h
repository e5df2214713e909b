#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/Row.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// Rows in the order of their keys, with a bounded history that answers reads as of an earlier revision.
class RevisionedRows
{
public:
    /// Stands for the current state in reads.
    static constexpr std::uint64_t Newest = UINT64_MAX;

    /// The row as it was after \a asOf; revision 0 where it did not exist.
    Row read(const std::string &key, std::uint64_t asOf = Newest) const;
    /// At most \a limit rows whose key begins with \a prefix and is greater than \a startAfter.
    std::vector<Row> scan(std::string_view prefix, std::string_view startAfter, std::size_t limit, std::uint64_t asOf = Newest) const;
    std::uint64_t revisionOf(const std::string &key) const;

    /// Sets or deletes a row. \a revision is higher than any before, or equal within one transaction.
    void write(const std::string &key, std::optional<std::string> value, std::uint64_t revision, TimePoint now);

    /// Undoes the writes after \a revision, as far as the history reaches.
    void rollBack(std::uint64_t revision);

    /// The last revision written before \a time, as far as the history reaches.
    std::uint64_t revisionBefore(TimePoint time) const;

private:
    /// The row as it was before a write.
    struct Change
    {
        std::uint64_t revision;
        TimePoint time;
        Row previous;
    };

    static std::size_t bytesOf(const Change &change);
    void remember(Change change);

    std::map<std::string, Row, std::less<>> m_rows;
    std::deque<Change> m_history;
    std::size_t m_historyBytes = 0;
    /// Highest revision that has left the history, so the oldest that a read can go back to.
    std::uint64_t m_oldestRevision = 0;
};

} // namespace Fuchsiastep

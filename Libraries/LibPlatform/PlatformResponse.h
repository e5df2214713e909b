#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/Row.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// Answer to ReadRows and ScanRows.
struct Rows
{
    std::vector<Row> rows;
    /// Newest revision of the table at the time of the read, where the platform tells it; a watch continues from here.
    std::uint64_t revision = 0;
};

/// Answer to WatchRows.
struct RowsChanged
{
    /// Changed rows in the order of their revisions. Rows that were deleted are left out.
    std::vector<Row> rows;
    /// The next watch continues from here.
    std::uint64_t revision = 0;
};

/// Answer to WatchRows: the changes after the revision are no longer known; the rows have to be read.
struct HistoryGone
{ };

/// The transaction or object write took effect.
struct Committed
{
    /// Revision that every written row received.
    std::uint64_t revision = 0;
};

/// The transaction had no effect, because conditions did not hold.
struct Conflict
{
    /// The current rows of the conditions that did not hold.
    std::vector<Row> currentRows;
};

struct ObjectContent
{
    std::string content;
};

struct ObjectMissing
{ };

/// PlatformUnavailable: the call certainly had no effect. PlatformOutcomeUnknown: a write may have taken effect.
struct PlatformFailure
{
    Error error;
};

using PlatformResponse = std::variant<Rows, Committed, Conflict, ObjectContent, ObjectMissing, PlatformFailure, RowsChanged, HistoryGone>;

} // namespace Fuchsiastep

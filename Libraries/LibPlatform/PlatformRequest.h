#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// Reads rows by key. The answer has one row for each key, in order, with revision 0 where there is none.
struct ReadRows
{
    std::vector<std::string> keys;
};

/// Reads the rows whose key begins with \a prefix and is greater than \a startAfter, in ascending order.
struct ScanRows
{
    std::string prefix;
    std::string startAfter;
    std::uint32_t limit = 100;
};

/// The row must have this revision; 0 means that it must not exist.
struct RowCondition
{
    std::string key;
    std::uint64_t expectedRevision = 0;
};

/// Sets the value of a row, or deletes the row where there is no value.
struct RowWrite
{
    std::string key;
    std::optional<std::string> value;
};

/// All writes together, or none where a condition does not hold.
struct Transaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
};

struct GetObject
{
    std::string name;
};

struct PutObject
{
    std::string name;
    std::string content;
};

/// Waits until rows whose key begins with \a prefix have changed after a revision.
struct WatchRows
{
    std::string prefix;
    std::uint64_t afterRevision = 0;
    /// The answer comes after this time at the latest, without rows where nothing changed.
    Duration wait {0};
};

/// A call to the platform's table or object store.
using PlatformRequest = std::variant<ReadRows, ScanRows, Transaction, GetObject, PutObject, WatchRows>;

/// Whether \a request can change the table or the object store.
bool isWrite(const PlatformRequest &request);

} // namespace Fuchsiastep

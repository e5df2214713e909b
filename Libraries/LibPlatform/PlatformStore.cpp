#include <LibPlatform/PlatformStore.h>

#include <LibCore/Result.h>

#include <algorithm>
#include <set>

namespace Fuchsiastep {

static PlatformFailure malformed(std::string_view detail)
{
    return {{ErrorCode::PlatformMalformedRequest, std::string(detail)}};
}

PlatformStore::PlatformStore(const Clock &clock, PlatformLimits limits) : m_clock(clock), m_limits(limits)
{ }

PlatformResponse PlatformStore::handle(const PlatformRequest &request)
{
    return handleStale(request, RevisionedRows::Newest);
}

PlatformResponse PlatformStore::handleStale(const PlatformRequest &request, std::uint64_t asOf)
{
    return std::visit(Overloaded {
                          [&](const ReadRows &content) { return read(content, asOf); },
                          [&](const ScanRows &content) { return scan(content, asOf); },
                          [&](const Transaction &content) { return commit(content); },
                          [&](const GetObject &content) { return readObject(content, asOf); },
                          [&](const PutObject &content) { return writeObject(content); },
                          [&](const WatchRows &content) { return watch(content); },
                      },
        request);
}

std::uint64_t PlatformStore::revisionBefore(Duration age) const
{
    const TimePoint time = m_clock.now() - age;
    return std::max(m_table.revisionBefore(time), m_objects.revisionBefore(time));
}

void PlatformStore::restore(std::uint64_t revision)
{
    m_table.rollBack(revision);
    m_objects.rollBack(revision);
    m_lastRevision = std::min(m_lastRevision, revision);
    ++m_era;
}

bool PlatformStore::isKeyValid(const std::string &key) const
{
    return !key.empty() && key.size() <= m_limits.keyBytes;
}

PlatformResponse PlatformStore::read(const ReadRows &request, std::uint64_t asOf) const
{
    if (request.keys.size() > m_limits.rowsPerRequest) {
        return malformed("too many keys");
    }
    Rows answer;
    answer.rows.reserve(request.keys.size());
    for (const std::string &key : request.keys) {
        if (!isKeyValid(key)) {
            return malformed("a key is empty or too long");
        }
        answer.rows.push_back(m_table.read(key, asOf));
    }
    return answer;
}

PlatformResponse PlatformStore::scan(const ScanRows &request, std::uint64_t asOf) const
{
    if (request.prefix.size() > m_limits.keyBytes || request.startAfter.size() > m_limits.keyBytes) {
        return malformed("a prefix or start key is too long");
    }
    return Rows {m_table.scan(request.prefix, request.startAfter, std::min(request.limit, m_limits.rowsPerScan), asOf)};
}

PlatformResponse PlatformStore::watch(const WatchRows &request) const
{
    if (request.afterRevision > m_lastRevision) {
        return HistoryGone {};
    }
    // The wait is the matter of whoever serves the store.
    RowsChanged changes {{}, m_lastRevision};
    for (Row &row : m_table.scan(request.prefix, {}, m_limits.rowsPerScan, RevisionedRows::Newest)) {
        if (row.revision > request.afterRevision) {
            changes.rows.push_back(std::move(row));
        }
    }
    std::sort(changes.rows.begin(), changes.rows.end(), [](const Row &left, const Row &right) { return left.revision < right.revision; });
    return changes;
}

std::string_view PlatformStore::problemOf(const Transaction &request) const
{
    if (request.conditions.size() > m_limits.rowsPerRequest || request.writes.size() > m_limits.rowsPerRequest) {
        return "too many conditions or writes";
    }
    for (const RowCondition &condition : request.conditions) {
        if (!isKeyValid(condition.key)) {
            return "the key of a condition is empty or too long";
        }
    }
    std::set<std::string_view> written;
    for (const RowWrite &write : request.writes) {
        if (!isKeyValid(write.key)) {
            return "the key of a write is empty or too long";
        }
        if (write.value && write.value->size() > m_limits.valueBytes) {
            return "a value is too long";
        }
        // The result of two writes to one row would depend on their order, so it is refused.
        if (!written.insert(write.key).second) {
            return "a row is written twice";
        }
    }
    return {};
}

PlatformResponse PlatformStore::commit(const Transaction &request)
{
    const std::string_view problem = problemOf(request);
    if (!problem.empty()) {
        return malformed(problem);
    }
    Conflict conflict;
    for (const RowCondition &condition : request.conditions) {
        if (m_table.revisionOf(condition.key) != condition.expectedRevision) {
            conflict.currentRows.push_back(m_table.read(condition.key));
        }
    }
    if (!conflict.currentRows.empty()) {
        return conflict;
    }
    ++m_lastRevision;
    for (const RowWrite &write : request.writes) {
        m_table.write(write.key, write.value, m_lastRevision, m_clock.now());
    }
    return Committed {m_lastRevision};
}

PlatformResponse PlatformStore::readObject(const GetObject &request, std::uint64_t asOf) const
{
    if (!isKeyValid(request.name)) {
        return malformed("an object name is empty or too long");
    }
    Row row = m_objects.read(request.name, asOf);
    if (row.revision == 0) {
        return ObjectMissing {};
    }
    return ObjectContent {std::move(row.value)};
}

PlatformResponse PlatformStore::writeObject(const PutObject &request)
{
    if (!isKeyValid(request.name)) {
        return malformed("an object name is empty or too long");
    }
    if (request.content.size() > m_limits.objectBytes) {
        return malformed("an object is too long");
    }
    m_objects.write(request.name, request.content, ++m_lastRevision, m_clock.now());
    return Committed {m_lastRevision};
}

} // namespace Fuchsiastep

#pragma once

#include <LibPlatform/LibPlatform.h>

#include <map>

namespace Fuchsiastep {

/// A table and object store in memory that follows the conditions of transactions.
class FakePlatform
{
public:
    /// With \a isStale a read shows what the rows were before their last write.
    PlatformResponse apply(const PlatformRequest &request, bool isStale)
    {
        if (const auto *read = std::get_if<ReadRows>(&request)) {
            Rows result;
            for (const std::string &key : read->keys) {
                result.rows.push_back(row(key, isStale));
            }
            return result;
        }
        if (const auto *get = std::get_if<GetObject>(&request)) {
            const auto object = m_objects.find(get->name);
            return object == m_objects.end() ? PlatformResponse(ObjectMissing {}) : PlatformResponse(ObjectContent {object->second});
        }
        if (const auto *put = std::get_if<PutObject>(&request)) {
            m_objects[put->name] = put->content;
            return Committed {++m_revision};
        }
        return commit(std::get<Transaction>(request));
    }

    Row row(const std::string &key, bool isStale = false) const
    {
        const auto &rows = isStale ? m_previous : m_rows;
        const auto found = rows.find(key);
        return found == rows.end() ? Row {key, 0, {}} : found->second;
    }

private:
    PlatformResponse commit(const Transaction &transaction)
    {
        Conflict conflict;
        for (const RowCondition &condition : transaction.conditions) {
            const Row current = row(condition.key);
            if (current.revision != condition.expectedRevision) {
                conflict.currentRows.push_back(current);
            }
        }
        if (!conflict.currentRows.empty()) {
            return conflict;
        }
        ++m_revision;
        for (const RowWrite &write : transaction.writes) {
            m_previous[write.key] = row(write.key);
            m_rows[write.key] = {write.key, m_revision, write.value.value_or("")};
        }
        return Committed {m_revision};
    }

    std::map<std::string, Row> m_rows;
    std::map<std::string, Row> m_previous;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_revision = 0;
};

} // namespace Fuchsiastep

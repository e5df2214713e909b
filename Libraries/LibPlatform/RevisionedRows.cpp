#include <LibPlatform/RevisionedRows.h>

namespace Fuchsiastep {

static constexpr std::size_t MaximumHistoryChanges = 8192;
static constexpr std::size_t MaximumHistoryBytes = std::size_t(64) << 20U;

std::uint64_t RevisionedRows::revisionOf(const std::string &key) const
{
    const auto row = m_rows.find(key);
    return row == m_rows.end() ? 0 : row->second.revision;
}

Row RevisionedRows::read(const std::string &key, std::uint64_t asOf) const
{
    const auto current = m_rows.find(key);
    Row row = current == m_rows.end() ? Row {key, 0, {}} : current->second;
    for (auto change = m_history.rbegin(); change != m_history.rend() && change->revision > asOf; ++change) {
        if (change->previous.key == key) {
            row = change->previous;
        }
    }
    return row;
}

std::vector<Row> RevisionedRows::scan(std::string_view prefix, std::string_view startAfter, std::size_t limit, std::uint64_t asOf) const
{
    const auto isWanted = [&](const std::string &key) {
        return key > startAfter && key.starts_with(prefix);
    };
    // Rows that changed after asOf, as they were then.
    std::map<std::string, Row, std::less<>> earlier;
    for (auto change = m_history.rbegin(); change != m_history.rend() && change->revision > asOf; ++change) {
        if (isWanted(change->previous.key)) {
            earlier[change->previous.key] = change->previous;
        }
    }
    std::vector<Row> rows;
    auto current = startAfter < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(startAfter);
    auto old = earlier.begin();
    while (rows.size() < limit) {
        const bool hasCurrent = current != m_rows.end() && current->first.starts_with(prefix);
        if (old != earlier.end() && (!hasCurrent || old->first <= current->first)) {
            if (hasCurrent && old->first == current->first) {
                ++current;
            }
            if (old->second.revision != 0) {
                rows.push_back(old->second);
            }
            ++old;
            continue;
        }
        if (!hasCurrent) {
            break;
        }
        rows.push_back(current->second);
        ++current;
    }
    return rows;
}

void RevisionedRows::write(const std::string &key, std::optional<std::string> value, std::uint64_t revision, TimePoint now)
{
    const auto row = m_rows.find(key);
    const bool exists = row != m_rows.end();
    if (!exists && !value) {
        return;
    }
    remember({revision, now, exists ? std::move(row->second) : Row {key, 0, {}}});
    if (!value) {
        m_rows.erase(row);
        return;
    }
    m_rows[key] = Row {key, revision, std::move(*value)};
}

void RevisionedRows::rollBack(std::uint64_t revision)
{
    while (!m_history.empty() && m_history.back().revision > revision) {
        Change &change = m_history.back();
        m_historyBytes -= bytesOf(change);
        if (change.previous.revision == 0) {
            m_rows.erase(change.previous.key);
        } else {
            m_rows[change.previous.key] = std::move(change.previous);
        }
        m_history.pop_back();
    }
}

std::size_t RevisionedRows::bytesOf(const Change &change)
{
    return sizeof(Change) + change.previous.key.size() + change.previous.value.size();
}

void RevisionedRows::remember(Change change)
{
    m_historyBytes += bytesOf(change);
    m_history.push_back(std::move(change));
    while (m_history.size() > MaximumHistoryChanges || (m_historyBytes > MaximumHistoryBytes && m_history.size() > 1)) {
        m_historyBytes -= bytesOf(m_history.front());
        m_oldestRevision = m_history.front().revision;
        m_history.pop_front();
    }
}

std::uint64_t RevisionedRows::revisionBefore(TimePoint time) const
{
    std::uint64_t revision = m_oldestRevision;
    for (const Change &change : m_history) {
        if (change.time >= time) {
            break;
        }
        revision = change.revision;
    }
    return revision;
}

} // namespace Fuchsiastep

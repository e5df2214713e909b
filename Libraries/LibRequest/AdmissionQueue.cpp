#include <LibRequest/AdmissionQueue.h>

#include <algorithm>

namespace Fuchsiastep {

AdmissionQueue::Key AdmissionQueue::keyOf(const Entry &entry)
{
    return {entry.dueAt, entry.localId, entry.service};
}

void AdmissionQueue::push(const Entry &entry)
{
    const auto level = static_cast<std::size_t>(entry.priority);
    if (m_levels.at(level).insert(keyOf(entry)).second) {
        m_work.at(level) += entry.service;
    }
}

void AdmissionQueue::remove(const Entry &entry)
{
    const auto level = static_cast<std::size_t>(entry.priority);
    if (m_levels.at(level).erase(keyOf(entry)) > 0) {
        m_work.at(level) -= entry.service;
    }
}

AdmissionQueue::Level *AdmissionQueue::nextLevel()
{
    const auto isFilled = [](const Level &level) {
        return !level.empty();
    };
    if (m_starts % StartsPerFairOne == StartsPerFairOne - 1) {
        const auto earliest = std::min_element(m_levels.begin(), m_levels.end(), [&](const Level &left, const Level &right) {
            return isFilled(left) && (!isFilled(right) || *left.begin() < *right.begin());
        });
        return isFilled(*earliest) ? &*earliest : nullptr;
    }
    const auto highest = std::find_if(m_levels.rbegin(), m_levels.rend(), isFilled);
    return highest != m_levels.rend() ? &*highest : nullptr;
}

std::optional<LocalId> AdmissionQueue::pop()
{
    Level *level = nextLevel();
    if (level == nullptr) {
        return std::nullopt;
    }
    ++m_starts;
    const auto [dueAt, localId, service] = *level->begin();
    level->erase(level->begin());
    m_work.at(static_cast<std::size_t>(level - m_levels.data())) -= service;
    return localId;
}

std::optional<LocalId> AdmissionQueue::leastUrgentBelow(RequestPriority priority) const
{
    for (std::size_t level = 0; level < static_cast<std::size_t>(priority); ++level) {
        if (!m_levels.at(level).empty()) {
            return std::get<LocalId>(*m_levels.at(level).rbegin());
        }
    }
    return std::nullopt;
}

bool AdmissionQueue::isEmpty() const
{
    return size() == 0;
}

std::size_t AdmissionQueue::size() const
{
    std::size_t sum = 0;
    for (const Level &level : m_levels) {
        sum += level.size();
    }
    return sum;
}

Duration AdmissionQueue::workAhead(RequestPriority priority, TimePoint dueAt) const
{
    const auto own = static_cast<std::size_t>(priority);
    Duration work {0};
    for (std::size_t level = own + 1; level < m_levels.size(); ++level) {
        work += m_work.at(level);
    }
    for (const Key &key : m_levels.at(own)) {
        if (std::get<TimePoint>(key) > dueAt) {
            break;
        }
        work += std::get<Duration>(key);
    }
    return work;
}

} // namespace Fuchsiastep

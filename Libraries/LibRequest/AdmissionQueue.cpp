#include <LibRequest/AdmissionQueue.h>

#include <algorithm>

namespace Fuchsiastep {

FairQueue::Entry AdmissionQueue::itemOf(const Entry &entry)
{
    return {entry.dueAt, entry.localId, entry.service};
}

void AdmissionQueue::push(const Entry &entry)
{
    m_levels.at(static_cast<std::size_t>(entry.priority)).insert(entry.workspace, itemOf(entry));
}

void AdmissionQueue::remove(const Entry &entry)
{
    m_levels.at(static_cast<std::size_t>(entry.priority)).remove(entry.workspace, itemOf(entry));
}

FairQueue *AdmissionQueue::nextLevel()
{
    const auto isFilled = [](const FairQueue &level) {
        return !level.isEmpty();
    };
    if (m_starts % StartsPerFairOne == StartsPerFairOne - 1) {
        const auto earliest = std::min_element(m_levels.begin(), m_levels.end(), [&](const FairQueue &left, const FairQueue &right) {
            return isFilled(left) && (!isFilled(right) || *left.earliest() < *right.earliest());
        });
        return isFilled(*earliest) ? &*earliest : nullptr;
    }
    const auto highest = std::find_if(m_levels.rbegin(), m_levels.rend(), isFilled);
    return highest != m_levels.rend() ? &*highest : nullptr;
}

std::optional<LocalId> AdmissionQueue::pop()
{
    FairQueue *level = nextLevel();
    if (level == nullptr) {
        return std::nullopt;
    }
    ++m_starts;
    return level->takeNext().localId;
}

std::optional<LocalId> AdmissionQueue::excessFor(RequestPriority priority, const std::string &workspace) const
{
    const auto own = static_cast<std::size_t>(priority);
    for (std::size_t level = 0; level < own; ++level) {
        if (const std::optional<FairQueue::Entry> latest = m_levels.at(level).latest()) {
            return latest->localId;
        }
    }
    return m_levels.at(own).excessOver(workspace);
}

bool AdmissionQueue::isEmpty() const
{
    return size() == 0;
}

std::size_t AdmissionQueue::size() const
{
    std::size_t sum = 0;
    for (const FairQueue &level : m_levels) {
        sum += level.size();
    }
    return sum;
}

Duration AdmissionQueue::workAhead(const Entry &entry) const
{
    const auto own = static_cast<std::size_t>(entry.priority);
    Duration work {0};
    for (std::size_t level = own + 1; level < m_levels.size(); ++level) {
        work += m_levels.at(level).work();
    }
    return work + m_levels.at(own).workAhead(entry.workspace, entry.dueAt, entry.service);
}

} // namespace Fuchsiastep

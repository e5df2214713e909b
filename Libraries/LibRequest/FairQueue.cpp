#include <LibRequest/FairQueue.h>

#include <algorithm>

namespace Fuchsiastep {

/// Workspaces without a waiting request whose tags are kept.
static constexpr std::size_t MaximumAhead = 256;

/// Requests without a workspace are calls that running requests make. One that waits keeps the slot of the run that made it, and
/// all of them together stand for many workspaces.
static constexpr std::int64_t UnassignedWeight = 16;

static std::int64_t weightOf(const std::string &workspace)
{
    return workspace.empty() ? UnassignedWeight : 1;
}

bool FairQueue::insert(const std::string &workspace, const Entry &entry)
{
    const auto [place, isNew] = m_queues.try_emplace(workspace);
    Queue &queue = place->second;
    if (isNew) {
        // Time that a workspace did not ask for is not owed to it.
        const auto ahead = m_ahead.find(workspace);
        queue.startTag = std::max(m_virtualTime, ahead == m_ahead.end() ? Duration(0) : ahead->second);
        if (ahead != m_ahead.end()) {
            m_ahead.erase(ahead);
        }
    }
    if (!queue.entries.insert(entry).second) {
        return false;
    }
    queue.work += entry.service;
    m_work += entry.service;
    ++m_size;
    return true;
}

bool FairQueue::remove(const std::string &workspace, const Entry &entry)
{
    const auto queue = m_queues.find(workspace);
    if (queue == m_queues.end() || queue->second.entries.erase(entry) == 0) {
        return false;
    }
    queue->second.work -= entry.service;
    m_work -= entry.service;
    --m_size;
    leave(queue);
    return true;
}

void FairQueue::leave(std::map<std::string, Queue>::iterator queue)
{
    if (!queue->second.entries.empty()) {
        return;
    }
    if (queue->second.startTag > m_virtualTime) {
        std::erase_if(m_ahead, [this](const auto &entry) { return entry.second <= m_virtualTime; });
        if (m_ahead.size() < MaximumAhead) {
            m_ahead[queue->first] = queue->second.startTag;
        }
    }
    m_queues.erase(queue);
}

FairQueue::Entry FairQueue::takeNext()
{
    const auto next = std::min_element(m_queues.begin(), m_queues.end(), [](const auto &left, const auto &right) {
        return std::tie(left.second.startTag, *left.second.entries.begin())
            < std::tie(right.second.startTag, *right.second.entries.begin());
    });
    const Entry entry = *next->second.entries.begin();
    m_virtualTime = std::max(m_virtualTime, next->second.startTag);
    next->second.startTag += entry.service / weightOf(next->first);
    remove(next->first, entry);
    return entry;
}

std::optional<FairQueue::Entry> FairQueue::earliest() const
{
    std::optional<Entry> found;
    for (const auto &[workspace, queue] : m_queues) {
        const Entry &entry = *queue.entries.begin();
        found = !found || entry < *found ? entry : *found;
    }
    return found;
}

std::optional<FairQueue::Entry> FairQueue::latest() const
{
    std::optional<Entry> found;
    for (const auto &[workspace, queue] : m_queues) {
        const Entry &entry = *queue.entries.rbegin();
        found = !found || *found < entry ? entry : *found;
    }
    return found;
}

std::optional<LocalId> FairQueue::excessOver(const std::string &workspace) const
{
    const auto own = m_queues.find(workspace);
    const std::size_t ownSize = own == m_queues.end() ? 0 : own->second.entries.size();
    const auto largest = std::max_element(m_queues.begin(), m_queues.end(), [](const auto &left, const auto &right) {
        return left.second.entries.size() < right.second.entries.size();
    });
    if (largest == m_queues.end() || largest->second.entries.size() <= ownSize + 1) {
        return std::nullopt;
    }
    return largest->second.entries.rbegin()->localId;
}

Duration FairQueue::workAhead(const std::string &workspace, TimePoint dueAt, Duration service) const
{
    Duration own {0};
    const auto known = m_queues.find(workspace);
    if (known != m_queues.end()) {
        for (const Entry &entry : known->second.entries) {
            if (entry.dueAt > dueAt) {
                break;
            }
            own += entry.service;
        }
    }
    // Until its turn comes, each other workspace has about as much time on the upstream as this one.
    const Duration ownTag = known == m_queues.end() ? m_virtualTime : known->second.startTag;
    Duration work = own;
    for (const auto &[name, queue] : m_queues) {
        if (name != workspace) {
            const Duration share = std::max(Duration(0), ownTag + (own + service) / weightOf(workspace) - queue.startTag);
            work += std::min(queue.work, share * weightOf(name));
        }
    }
    return work;
}

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>
#include <LibRequest/ClaimMessages.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace Fuchsiastep {

/// Requests of one priority that wait for an upstream, in fair shares among their workspaces: of those that wait, the one
/// that has had the least time on the upstream is next (start-time fair queueing). Within a workspace the request that is due
/// first is next. It answers the burst of one workspace, which would otherwise fill the queue and take every slot.
class FairQueue
{
public:
    struct Entry
    {
        TimePoint dueAt;
        LocalId localId = 0;
        /// Expected time on the upstream.
        Duration service {0};

        bool operator<(const Entry &other) const
        {
            return std::tie(dueAt, localId, service) < std::tie(other.dueAt, other.localId, other.service);
        }
    };

    /// Returns false where the entry is there already.
    bool insert(const std::string &workspace, const Entry &entry);
    /// Returns false where there is no such entry.
    bool remove(const std::string &workspace, const Entry &entry);
    /// The request that starts next; removes it. The queue is not empty.
    Entry takeNext();

    bool isEmpty() const
    {
        return m_size == 0;
    }
    std::size_t size() const
    {
        return m_size;
    }
    Duration work() const
    {
        return m_work;
    }
    /// The request that is due first of all; nothing where the queue is empty.
    std::optional<Entry> earliest() const;
    /// The request that is due last of all.
    std::optional<Entry> latest() const;
    /// The request to shed for one of \a workspace: that of the workspace with the most requests which is due last, where it
    /// has more than \a workspace would have then.
    std::optional<LocalId> excessOver(const std::string &workspace) const;
    /// Service time of the requests that start before one of the workspace with this due time.
    Duration workAhead(const std::string &workspace, TimePoint dueAt, Duration service) const;

private:
    struct Queue
    {
        std::set<Entry> entries;
        Duration work {0};
        /// Time on the upstream that the workspace has had, on the time line of m_virtualTime.
        Duration startTag {0};
    };

    void leave(std::map<std::string, Queue>::iterator queue);

    std::map<std::string, Queue> m_queues;
    /// Tags of workspaces that wait no longer and are ahead of the virtual time.
    std::map<std::string, Duration> m_ahead;
    Duration m_virtualTime {0};
    Duration m_work {0};
    std::size_t m_size = 0;
};

} // namespace Fuchsiastep

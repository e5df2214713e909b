#pragma once

#include <LibProxy/IngressBudget.h>

#include <functional>
#include <utility>
#include <vector>

namespace Fuchsiastep {

/// The budget that the HTTP servers of a process share, and how each gives up a connection.
class SharedIngress
{
public:
    /// Gives up a connection. Its memory is free at once; the connection closes in a later turn.
    using GiveUp = std::function<void(std::uint64_t connection)>;

    explicit SharedIngress(std::uint64_t limitBytes) : m_budget(limitBytes)
    { }

    /// Returns the number of the server.
    std::uint32_t addServer(GiveUp giveUp)
    {
        m_servers.push_back(std::move(giveUp));
        return static_cast<std::uint32_t>(m_servers.size() - 1);
    }
    const IngressBudget &budget() const
    {
        return m_budget;
    }
    /// May give up connections, also the one of \a key.
    void update(IngressKey key, std::uint64_t bytes, TimePoint lastByteAt)
    {
        m_budget.update(key, bytes, lastByteAt);
        while (const std::optional<IngressKey> excess = m_budget.excess()) {
            m_budget.remove(*excess);
            m_servers.at(excess->server)(excess->connection);
        }
    }
    void remove(IngressKey key)
    {
        m_budget.remove(key);
    }

private:
    IngressBudget m_budget;
    std::vector<GiveUp> m_servers;
};

} // namespace Fuchsiastep

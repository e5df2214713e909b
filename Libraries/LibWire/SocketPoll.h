#pragma once

#include <LibWire/SocketWatch.h>

#include <glib.h>

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace Fuchsiastep {

/// The epoll descriptor of the default main context, and its source. Used by SocketWatch only.
class SocketPoll
{
public:
    static SocketPoll &instance();

    SocketPoll();
    ~SocketPoll();
    SocketPoll(const SocketPoll &) = delete;
    SocketPoll &operator=(const SocketPoll &) = delete;

    std::uint64_t add(SocketWatch::ReadyHandler onReady);
    void remove(std::uint64_t id);
    /// Changes what is asked for of a socket, from \a oldEvents to \a newEvents of epoll. 0 is not registered.
    void change(int descriptor, std::uint64_t id, std::uint32_t oldEvents, std::uint32_t newEvents) const;

private:
    void dispatch();

    int m_descriptor = -1;
    GSource *m_source = nullptr;
    std::uint64_t m_nextId = 1;
    /// Shared, because a handler may remove itself while it runs.
    std::unordered_map<std::uint64_t, std::shared_ptr<const SocketWatch::ReadyHandler>> m_handlers;
};

} // namespace Fuchsiastep

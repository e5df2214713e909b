#include <LibWire/SocketPoll.h>

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace Fuchsiastep {

/// Sockets that are handled in one turn of the main loop, so that timers are not held up for longer.
static constexpr std::size_t MaximumEvents = 64;

SocketPoll &SocketPoll::instance()
{
    static SocketPoll poll;
    return poll;
}

SocketPoll::SocketPoll() : m_descriptor(epoll_create1(EPOLL_CLOEXEC))
{
    if (m_descriptor < 0) {
        g_error("epoll_create1 failed: %s", g_strerror(errno));
    }
    m_source = g_unix_fd_source_new(m_descriptor, G_IO_IN);
    const GUnixFDSourceFunc callback = [](gint, GIOCondition, gpointer data) -> gboolean {
        static_cast<SocketPoll *>(data)->dispatch();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(m_source, G_SOURCE_FUNC(callback), this, nullptr);
    g_source_attach(m_source, nullptr);
}

SocketPoll::~SocketPoll()
{
    g_source_destroy(m_source);
    g_source_unref(m_source);
    ::close(m_descriptor);
}

std::uint64_t SocketPoll::add(SocketWatch::ReadyHandler onReady)
{
    const std::uint64_t id = m_nextId++;
    m_handlers[id] = std::make_shared<const SocketWatch::ReadyHandler>(std::move(onReady));
    return id;
}

void SocketPoll::remove(std::uint64_t id)
{
    m_handlers.erase(id);
}

void SocketPoll::change(int descriptor, std::uint64_t id, std::uint32_t oldEvents, std::uint32_t newEvents) const
{
    if (oldEvents == newEvents) {
        return;
    }
    epoll_event event {};
    event.events = newEvents;
    event.data.u64 = id;
    const int replacement = oldEvents == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    const int operation = newEvents == 0 ? EPOLL_CTL_DEL : replacement;
    if (epoll_ctl(m_descriptor, operation, descriptor, &event) != 0) {
        g_warning("epoll_ctl %d failed: %s", operation, g_strerror(errno));
    }
}

void SocketPoll::dispatch()
{
    std::array<epoll_event, MaximumEvents> events; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by epoll_wait.
    const int count = epoll_wait(m_descriptor, events.data(), static_cast<int>(events.size()), 0);
    for (int index = 0; index < count; ++index) {
        const epoll_event &event = events.at(static_cast<std::size_t>(index));
        // The handler of an earlier event may have removed this one.
        const auto found = m_handlers.find(event.data.u64);
        if (found == m_handlers.end()) {
            continue;
        }
        const std::shared_ptr<const SocketWatch::ReadyHandler> handler = found->second;
        const bool hasEnded = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
        (*handler)({
            .isReadable = hasEnded || (event.events & (EPOLLIN | EPOLLRDHUP)) != 0,
            .isWritable = hasEnded || (event.events & EPOLLOUT) != 0,
            .hasPeerEnded = hasEnded || (event.events & EPOLLRDHUP) != 0,
        });
    }
}

} // namespace Fuchsiastep

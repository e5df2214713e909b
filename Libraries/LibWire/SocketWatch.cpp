#include <LibWire/SocketWatch.h>

#include <LibWire/SocketPoll.h>

#include <sys/epoll.h>

#include <utility>

namespace Fuchsiastep {

static constexpr std::uint32_t ReadEvents = EPOLLIN | EPOLLRDHUP;

SocketWatch::SocketWatch(int descriptor, ReadyHandler onReady)
    : m_descriptor(descriptor), m_id(SocketPoll::instance().add(std::move(onReady)))
{ }

SocketWatch::~SocketWatch()
{
    update(0);
    SocketPoll::instance().remove(m_id);
}

void SocketWatch::setReads(bool isWanted)
{
    update(isWanted ? m_events | ReadEvents : m_events & ~ReadEvents);
}

void SocketWatch::setWrites(bool isWanted)
{
    update(isWanted ? m_events | EPOLLOUT : m_events & ~static_cast<std::uint32_t>(EPOLLOUT));
}

void SocketWatch::update(std::uint32_t events)
{
    SocketPoll::instance().change(m_descriptor, m_id, m_events, events);
    m_events = events;
}

} // namespace Fuchsiastep

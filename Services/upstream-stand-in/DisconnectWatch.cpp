#include "DisconnectWatch.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace Fuchsiastep {

DisconnectWatch::DisconnectWatch(GSocket *socket, std::function<void()> callback) : m_callback(std::move(callback))
{
    m_source = g_socket_create_source(socket, GIOCondition(G_IO_IN | G_IO_HUP | G_IO_ERR), nullptr);
    g_source_set_callback(m_source, reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(onReadable)), this, nullptr);
    g_source_attach(m_source, nullptr);
}

DisconnectWatch::~DisconnectWatch()
{
    g_source_destroy(m_source);
    g_source_unref(m_source);
}

gboolean DisconnectWatch::onReadable(GSocket *socket, GIOCondition, gpointer data)
{
    char byte = 0;
    const ssize_t count = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        // The next request is already there, so the peer is alive; the source would fire without end.
        return G_SOURCE_REMOVE;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return G_SOURCE_CONTINUE;
    }
    // The callback may destroy this object.
    const std::function<void()> callback = std::move(static_cast<DisconnectWatch *>(data)->m_callback);
    callback();
    return G_SOURCE_REMOVE;
}

} // namespace Fuchsiastep

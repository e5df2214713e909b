#include <LibWire/PeerListener.h>

#include <LibWire/BoundSocket.h>

namespace Fuchsiastep {

Result<std::unique_ptr<PeerListener>> PeerListener::tryListen(const SocketAddress &address, AcceptHandler onAccept)
{
    constexpr int Backlog = 1024; // A herd of proxies reconnects at once.
    std::unique_ptr<PeerListener> listener(new PeerListener);
    listener->m_address = address;
    Result<GSocket *> socket = tryBindSocket(listener->m_address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP);
    if (isError(socket)) {
        return errorOf(socket);
    }
    listener->m_socket = valueOf(socket);
    listener->m_onAccept = std::move(onAccept);
    g_socket_set_listen_backlog(listener->m_socket, Backlog);
    GError *error = nullptr;
    if (!g_socket_listen(listener->m_socket, &error)) {
        const Error failed {ErrorCode::ListenFailed, error->message};
        g_error_free(error);
        return failed;
    }
    listener->m_source = g_socket_create_source(listener->m_socket, G_IO_IN, nullptr);
    const GSocketSourceFunc callback = [](GSocket *, GIOCondition, gpointer data) -> gboolean {
        static_cast<PeerListener *>(data)->accept();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(listener->m_source, G_SOURCE_FUNC(callback), listener.get(), nullptr);
    g_source_attach(listener->m_source, nullptr);
    return listener;
}

PeerListener::~PeerListener()
{
    if (m_source != nullptr) {
        g_source_destroy(m_source);
        g_source_unref(m_source);
    }
    if (m_socket != nullptr) {
        g_socket_close(m_socket, nullptr);
        g_object_unref(m_socket);
    }
}

void PeerListener::accept()
{
    GSocket *socket = g_socket_accept(m_socket, nullptr, nullptr);
    if (socket == nullptr) {
        return;
    }
    m_onAccept(socket);
    g_object_unref(socket);
}

} // namespace Fuchsiastep

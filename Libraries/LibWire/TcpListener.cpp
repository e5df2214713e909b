#include <LibWire/TcpListener.h>

#include <LibCore/ListeningSocket.h>

namespace Fuchsiastep {

Result<std::unique_ptr<TcpListener>> TcpListener::tryListen(const SocketAddress &address, AcceptHandler onAccept)
{
    std::unique_ptr<TcpListener> listener(new TcpListener);
    listener->m_address = address;
    const Result<GSocket *> socket = tryOpenListeningSocket(listener->m_address);
    if (isError(socket)) {
        return errorOf(socket);
    }
    listener->m_socket = valueOf(socket);
    listener->m_onAccept = std::move(onAccept);
    listener->m_source = g_socket_create_source(listener->m_socket, G_IO_IN, nullptr);
    const GSocketSourceFunc callback = [](GSocket *, GIOCondition, gpointer data) -> gboolean {
        static_cast<TcpListener *>(data)->accept();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(listener->m_source, G_SOURCE_FUNC(callback), listener.get(), nullptr);
    g_source_attach(listener->m_source, nullptr);
    return listener;
}

TcpListener::~TcpListener()
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

void TcpListener::accept()
{
    GSocket *socket = g_socket_accept(m_socket, nullptr, nullptr);
    if (socket == nullptr) {
        return;
    }
    m_onAccept(socket);
    g_object_unref(socket);
}

} // namespace Fuchsiastep

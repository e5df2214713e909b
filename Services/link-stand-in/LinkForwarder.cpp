#include "LinkForwarder.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Fuchsiastep {

LinkForwarder::LinkForwarder(const SocketAddress &target)
    : m_service(g_socket_service_new())
    , m_client(g_socket_client_new())
    , m_target(g_inet_socket_address_new_from_string(target.ip.c_str(), target.port))
{
    g_socket_client_set_enable_proxy(m_client, FALSE);
    g_signal_connect(m_service, "incoming", G_CALLBACK(onIncoming), this);
}

LinkForwarder::~LinkForwarder()
{
    g_socket_service_stop(m_service);
    g_object_unref(m_service);
    g_object_unref(m_client);
    g_object_unref(m_target);
}

Result<SocketAddress> LinkForwarder::tryListen(SocketAddress address)
{
    const Result<GSocket *> opened = tryOpenListeningSocket(address);
    if (isError(opened)) {
        return errorOf(opened);
    }
    g_autoptr(GSocket) socket = valueOf(opened);
    g_autoptr(GError) error = nullptr;
    if (!g_socket_listener_add_socket(G_SOCKET_LISTENER(m_service), socket, nullptr, &error)) {
        return Error {ErrorCode::ListenFailed, address.toString() + ": " + error->message};
    }
    return address;
}

gboolean LinkForwarder::onIncoming(GSocketService *, GSocketConnection *caller, GObject *, gpointer data)
{
    auto &forwarder = *static_cast<LinkForwarder *>(data);
    auto *target = G_SOCKET_CONNECTABLE(forwarder.m_target);
    g_socket_client_connect_async(forwarder.m_client, target, nullptr, onConnected, g_object_ref(caller));
    return TRUE;
}

static void sendWithoutDelay(GSocketConnection *connection)
{
    g_socket_set_option(g_socket_connection_get_socket(connection), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

void LinkForwarder::onConnected(GObject *client, GAsyncResult *result, gpointer data)
{
    g_autoptr(GSocketConnection) caller = G_SOCKET_CONNECTION(data);
    g_autoptr(GSocketConnection) target = g_socket_client_connect_finish(G_SOCKET_CLIENT(client), result, nullptr);
    if (target == nullptr) {
        g_io_stream_close(G_IO_STREAM(caller), nullptr, nullptr);
        return;
    }
    sendWithoutDelay(caller);
    sendWithoutDelay(target);
    const auto flags = GIOStreamSpliceFlags(G_IO_STREAM_SPLICE_CLOSE_STREAM1 | G_IO_STREAM_SPLICE_CLOSE_STREAM2);
    g_io_stream_splice_async(G_IO_STREAM(caller), G_IO_STREAM(target), flags, G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
}

} // namespace Fuchsiastep

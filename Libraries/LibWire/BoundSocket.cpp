#include <LibWire/BoundSocket.h>

namespace Fuchsiastep {

static Error takeError(const SocketAddress &address, GError *error)
{
    Error result {ErrorCode::ListenFailed, address.toString() + ": " + (error != nullptr ? error->message : "not an IP address")};
    g_clear_error(&error);
    return result;
}

Result<GSocket *> tryBindSocket(SocketAddress &address, GSocketType type, GSocketProtocol protocol)
{
    GSocketAddress *wanted = g_inet_socket_address_new_from_string(address.ip.c_str(), address.port);
    if (wanted == nullptr) {
        return takeError(address, nullptr);
    }
    GError *error = nullptr;
    GSocket *socket = g_socket_new(g_socket_address_get_family(wanted), type, protocol, &error);
    const bool isBound = socket != nullptr && g_socket_bind(socket, wanted, TRUE, &error);
    g_object_unref(wanted);
    if (!isBound) {
        g_clear_object(&socket);
        return takeError(address, error);
    }
    g_socket_set_blocking(socket, FALSE);
    GSocketAddress *local = g_socket_get_local_address(socket, nullptr);
    if (local != nullptr) {
        address.port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local));
        g_object_unref(local);
    }
    return socket;
}

} // namespace Fuchsiastep

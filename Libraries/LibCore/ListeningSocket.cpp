#include <LibCore/ListeningSocket.h>

namespace Fuchsiastep {

/// GIO's default of 10 makes the kernel drop connection attempts when many clients connect at once,
/// and each dropped one waits a second for its retransmission.
static constexpr int ListenBacklog = 1024;

Result<GSocket *> tryOpenListeningSocket(SocketAddress &address)
{
    g_autoptr(GError) error = nullptr;
    const auto failure = [&] {
        return Error {ErrorCode::ListenFailed, address.toString() + ": " + (error != nullptr ? error->message : "not an IP address")};
    };
    g_autoptr(GSocketAddress) wanted = g_inet_socket_address_new_from_string(address.ip.c_str(), address.port);
    if (wanted == nullptr) {
        return failure();
    }
    g_autoptr(GSocket) socket = g_socket_new(g_socket_address_get_family(wanted), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
    if (socket == nullptr || !g_socket_bind(socket, wanted, TRUE, &error)) {
        return failure();
    }
    g_socket_set_blocking(socket, FALSE);
    g_socket_set_listen_backlog(socket, ListenBacklog);
    if (!g_socket_listen(socket, &error)) {
        return failure();
    }
    g_autoptr(GSocketAddress) local = g_socket_get_local_address(socket, &error);
    if (local == nullptr) {
        return failure();
    }
    address.port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local));
    return G_SOCKET(g_steal_pointer(&socket));
}

} // namespace Fuchsiastep

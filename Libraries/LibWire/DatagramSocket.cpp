#include <LibWire/DatagramSocket.h>

#include <array>

namespace Fuchsiastep {

static Error takeError(const SocketAddress &address, GError *error)
{
    Error result {ErrorCode::ListenFailed, address.toString() + ": " + (error != nullptr ? error->message : "not an IP address")};
    g_clear_error(&error);
    return result;
}

/// A non-blocking socket bound to \a address, which receives the port that the kernel chose for port 0. The caller owns
/// the reference.
static Result<GSocket *> tryBindSocket(SocketAddress &address)
{
    GSocketAddress *wanted = g_inet_socket_address_new_from_string(address.ip.c_str(), address.port);
    if (wanted == nullptr) {
        return takeError(address, nullptr);
    }
    GError *error = nullptr;
    GSocket *socket = g_socket_new(g_socket_address_get_family(wanted), G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, &error);
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

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::tryBind(const SocketAddress &address, DatagramHandler onDatagram)
{
    std::unique_ptr<DatagramSocket> datagramSocket(new DatagramSocket);
    datagramSocket->m_address = address;
    Result<GSocket *> socket = tryBindSocket(datagramSocket->m_address);
    if (isError(socket)) {
        return errorOf(socket);
    }
    datagramSocket->m_socket = valueOf(socket);
    datagramSocket->m_onDatagram = std::move(onDatagram);
    datagramSocket->m_source = g_socket_create_source(datagramSocket->m_socket, G_IO_IN, nullptr);
    const GSocketSourceFunc callback = [](GSocket *, GIOCondition, gpointer data) -> gboolean {
        static_cast<DatagramSocket *>(data)->receive();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(datagramSocket->m_source, G_SOURCE_FUNC(callback), datagramSocket.get(), nullptr);
    g_source_attach(datagramSocket->m_source, nullptr);
    return datagramSocket;
}

DatagramSocket::~DatagramSocket()
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

Result<Done> DatagramSocket::trySend(const SocketAddress &receiver, std::string_view content)
{
    if (content.size() > MaximumDatagramBytes) {
        return Error {ErrorCode::DatagramTooLong, std::to_string(content.size()) + " bytes"};
    }
    GSocketAddress *address = g_inet_socket_address_new_from_string(receiver.ip.c_str(), receiver.port);
    if (address == nullptr) {
        return Error {ErrorCode::ConnectionRefused, receiver.toString()};
    }
    if (g_socket_send_to(m_socket, address, content.data(), content.size(), nullptr, nullptr) >= 0) {
        m_bytesSent += content.size();
    }
    g_object_unref(address);
    return Done {};
}

void DatagramSocket::receive()
{
    std::array<char, MaximumDatagramBytes + 1> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read.
    GSocketAddress *sender = nullptr;
    const gssize count = g_socket_receive_from(m_socket, &sender, buffer.data(), buffer.size(), nullptr, nullptr);
    if (count < 0 || sender == nullptr) {
        g_clear_object(&sender);
        return;
    }
    m_bytesReceived += static_cast<std::uint64_t>(count);
    auto *inetAddress = G_INET_SOCKET_ADDRESS(sender);
    char *ip = g_inet_address_to_string(g_inet_socket_address_get_address(inetAddress));
    const SocketAddress senderAddress {ip, g_inet_socket_address_get_port(inetAddress)};
    g_free(ip);
    g_object_unref(sender);
    m_onDatagram(senderAddress, {buffer.data(), static_cast<std::size_t>(count)});
}

} // namespace Fuchsiastep

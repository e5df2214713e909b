#pragma once

#include <LibCore/SocketAddress.h>
#include <Support/MainLoop.h>

#include <gio/gio.h>

#include <array>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// A TCP client that sends any bytes, to servers on the default main context of the same program.
class RawClient
{
public:
    explicit RawClient(const SocketAddress &server)
        : m_socket(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr))
    {
        GSocketAddress *address = g_inet_socket_address_new_from_string(server.ip.c_str(), server.port);
        // The kernel opens the connection without the server's main loop, unless the listener's queue is full.
        constexpr guint ConnectTimeoutSeconds = 2;
        g_socket_set_timeout(m_socket, ConnectTimeoutSeconds);
        m_isOpen = g_socket_connect(m_socket, address, nullptr, nullptr) != FALSE;
        g_object_unref(address);
        g_socket_set_blocking(m_socket, FALSE);
    }

    ~RawClient()
    {
        close();
        g_object_unref(m_socket);
    }

    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void close()
    {
        g_socket_close(m_socket, nullptr);
        m_isOpen = false;
    }

    /// Sends all, while the server runs. Stops where the server closes.
    void send(std::string_view bytes)
    {
        runUntil([this, &bytes] {
            const gssize count = g_socket_send(m_socket, bytes.data(), bytes.size(), nullptr, nullptr);
            bytes.remove_prefix(count > 0 ? static_cast<std::size_t>(count) : 0);
            return bytes.empty() || !poll();
        });
    }

    /// Reads until \a text was received or the server closed. Returns false where neither happens in time.
    bool receive(std::string_view text)
    {
        const bool isOver = runUntil([this, text] { return received.find(text) != std::string::npos || !poll(); });
        return isOver && received.find(text) != std::string::npos;
    }

    bool isOpen() const
    {
        return m_isOpen;
    }

    bool waitForClose()
    {
        return runUntil([this] { return !poll(); });
    }

    std::string received;

private:
    /// Reads what is there. Returns false where the server closed.
    bool poll()
    {
        std::array<char, 65536> chunk {};
        GError *error = nullptr;
        const gssize count = m_isOpen ? g_socket_receive(m_socket, chunk.data(), chunk.size(), nullptr, &error) : 0;
        if (count > 0) {
            received.append(chunk.data(), static_cast<std::size_t>(count));
        }
        m_isOpen = count > 0 || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
        g_clear_error(&error);
        return m_isOpen;
    }

    GSocket *m_socket;
    bool m_isOpen = false;
};

} // namespace Fuchsiastep

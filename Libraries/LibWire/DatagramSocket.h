#pragma once

#include <LibCore/SocketAddress.h>

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace Fuchsiastep {

/// Longest datagram in bytes; it fits an Ethernet frame without fragments.
constexpr std::size_t MaximumDatagramBytes = 1400;

/// A UDP socket on the default main context.
class DatagramSocket
{
public:
    using DatagramHandler = std::function<void(const SocketAddress &sender, std::string_view content)>;

    /// Binds to \a address; port 0 lets the kernel choose. Fails with ListenFailed.
    static Result<std::unique_ptr<DatagramSocket>> tryBind(const SocketAddress &address, DatagramHandler onDatagram);

    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Sends or drops: a full buffer is like a lost datagram. Fails with DatagramTooLong.
    Result<Done> trySend(const SocketAddress &receiver, std::string_view content);

    const SocketAddress &address() const
    {
        return m_address;
    }
    std::uint64_t bytesSent() const
    {
        return m_bytesSent;
    }
    std::uint64_t bytesReceived() const
    {
        return m_bytesReceived;
    }

private:
    DatagramSocket() = default;
    void receive();

    GSocket *m_socket = nullptr;
    GSource *m_source = nullptr;
    SocketAddress m_address;
    DatagramHandler m_onDatagram;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace Fuchsiastep

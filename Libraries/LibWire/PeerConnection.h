#pragma once

#include <LibCore/SocketAddress.h>
#include <LibWire/FrameBuffer.h>
#include <LibWire/FrameCodec.h>
#include <LibWire/TcpStream.h>

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Fuchsiastep {

/// One TCP connection that carries frames. It owns its socket, lives on the default main context and
/// tells its owner what arrives, in order, but for requests whose CancelFrame has arrived as well. The owner may destroy it
/// from any handler.
class PeerConnection
{
public:
    using FrameHandler = std::function<void(Frame frame)>;
    /// Called once, with ConnectionRefused, ConnectionClosed or the error of a rejected frame.
    using ClosedHandler = std::function<void(const Error &error)>;

    /// Starts to connect; frames sent meanwhile are queued. Failure is told to \a onClosed later.
    static std::unique_ptr<PeerConnection> connect(const SocketAddress &remote, FrameHandler onFrame, ClosedHandler onClosed);
    /// Takes over an accepted socket.
    static std::unique_ptr<PeerConnection> adopt(GSocket *socket, FrameHandler onFrame, ClosedHandler onClosed);

    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /// Queues a frame. Has no effect on a closed connection.
    void send(const Frame &frame);
    /// Closes without telling the owner.
    void close();

    bool isOpen() const;
    /// Bytes accepted by send() and not yet taken by the operating system.
    std::size_t bytesQueued() const;
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct State;
    explicit PeerConnection(std::shared_ptr<State> state);

    // Handlers may destroy the connection, so callbacks from the main loop hold the state themselves.
    std::shared_ptr<State> m_state;
};

} // namespace Fuchsiastep

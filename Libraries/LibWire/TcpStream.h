#pragma once

#include <LibCore/Clock.h>
#include <LibCore/SocketAddress.h>

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// How a TCP connection ended.
struct StreamEnd
{
    /// The connection was never established, so nothing that was sent arrived.
    bool neverConnected = false;
    /// The peer closed its direction in order; false after a reset or an error.
    bool isOrderly = false;
    std::string detail;
};

/// One non-blocking TCP connection on the default main context. The owner may destroy it from any handler.
class TcpStream
{
public:
    using BytesHandler = std::function<void(std::string_view bytes)>;
    /// Called once. Never called from within send().
    using EndHandler = std::function<void(const StreamEnd &end)>;
    /// Everything that was sent has been taken by the operating system.
    using FlushedHandler = std::function<void()>;

    /// Starts to connect; bytes sent meanwhile are queued.
    static std::unique_ptr<TcpStream> connect(const SocketAddress &remote, BytesHandler onBytes, EndHandler onEnd);
    /// Takes over an accepted socket.
    static std::unique_ptr<TcpStream> adopt(GSocket *socket, BytesHandler onBytes, EndHandler onEnd);

    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    void setFlushedHandler(FlushedHandler onFlushed);
    /// Ends the connection when sent bytes stay unacknowledged, or keep-alive probes unanswered, for this long. Without it
    /// a connection that went silent hangs until the timeouts of the operating system, which take minutes.
    void setSilenceLimit(Duration limit);
    /// Ends the connection as never connected where it is not open after this long.
    void setConnectTimeout(Duration timeout);

    /// Queues bytes. Has no effect on a closed stream.
    void send(std::string bytes);
    /// Reads nothing while it is off: the peer blocks once the buffers of the operating system are full. Its end is not noticed
    /// either.
    void setReading(bool isWanted);
    /// Ends the own direction once everything is sent; bytes of the peer still arrive.
    void finishSending();
    /// Closes without telling the owner.
    void close();

    bool isOpen() const;
    /// The peer has ended its direction. Bytes that arrived before may still be told, and the end is told after them.
    bool hasPeerEnded() const;
    std::size_t bytesQueued() const;
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct State;
    explicit TcpStream(std::shared_ptr<State> state);

    // Handlers may destroy the stream, so callbacks from the main loop hold the state themselves.
    std::shared_ptr<State> m_state;
};

} // namespace Fuchsiastep

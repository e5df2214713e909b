#include <LibWire/PeerConnection.h>

#include <array>

namespace Fuchsiastep {

static constexpr std::size_t ReadChunkBytes = 64 * 1024;

struct PeerConnection::State : std::enable_shared_from_this<PeerConnection::State>
{
    GSocket *socket = nullptr;
    GSource *readSource = nullptr;
    GSource *writeSource = nullptr;
    bool isConnecting = false;
    FrameBuffer input;
    std::string output;
    std::size_t outputBegin = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    FrameHandler onFrame;
    ClosedHandler onClosed;

    ~State()
    {
        release();
    }

    static void dropSource(GSource *&source)
    {
        if (source != nullptr) {
            g_source_destroy(source);
            g_source_unref(source);
            source = nullptr;
        }
    }

    void release()
    {
        dropSource(readSource);
        dropSource(writeSource);
        if (socket != nullptr) {
            g_socket_close(socket, nullptr);
            g_object_unref(socket);
            socket = nullptr;
        }
    }

    void fail(const Error &error)
    {
        release();
        const ClosedHandler handler = std::move(onClosed);
        onClosed = nullptr;
        onFrame = nullptr;
        if (handler) {
            handler(error);
        }
    }

    GSource *watch(GIOCondition condition, GSocketSourceFunc callback)
    {
        GSource *source = g_socket_create_source(socket, condition, nullptr);
        auto *self = new std::shared_ptr<State>(shared_from_this());
        g_source_set_callback(
            source, G_SOURCE_FUNC(callback), self, [](gpointer data) { delete static_cast<std::shared_ptr<State> *>(data); });
        g_source_attach(source, nullptr);
        return source;
    }

    void watchReads()
    {
        readSource = watch(G_IO_IN, [](GSocket *, GIOCondition, gpointer data) -> gboolean {
            const std::shared_ptr<State> self = *static_cast<std::shared_ptr<State> *>(data);
            self->read();
            return self->socket != nullptr ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
        });
    }

    void watchWrites()
    {
        if (writeSource != nullptr) {
            return;
        }
        writeSource = watch(G_IO_OUT, [](GSocket *, GIOCondition, gpointer data) -> gboolean {
            const std::shared_ptr<State> self = *static_cast<std::shared_ptr<State> *>(data);
            self->handleWritable();
            return self->writeSource != nullptr ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
        });
    }

    /// Tells a failure to the owner from the main loop.
    void failLater(Error error)
    {
        auto *later = new std::function<void()>([self = shared_from_this(), error = std::move(error)] { self->fail(error); });
        g_idle_add_full(
            G_PRIORITY_DEFAULT,
            [](gpointer data) -> gboolean {
                (*static_cast<std::function<void()> *>(data))();
                return G_SOURCE_REMOVE;
            },
            later,
            [](gpointer data) { delete static_cast<std::function<void()> *>(data); });
    }

    /// Writes at once what the operating system takes; the main loop writes the rest. A failure shows there as well,
    /// so that the owner is never called back from send().
    void send(const std::string &bytes)
    {
        std::size_t begin = 0;
        if (!isConnecting && output.empty()) {
            const gssize count = g_socket_send_with_blocking(socket, bytes.data(), bytes.size(), FALSE, nullptr, nullptr);
            begin = count > 0 ? static_cast<std::size_t>(count) : 0;
            bytesSent += begin;
        }
        if (begin < bytes.size()) {
            output.append(bytes, begin);
            watchWrites();
        }
    }

    void handleWritable()
    {
        if (isConnecting) {
            GError *error = nullptr;
            if (!g_socket_check_connect_result(socket, &error)) {
                const Error refused {ErrorCode::ConnectionRefused, error->message};
                g_error_free(error);
                fail(refused);
                return;
            }
            isConnecting = false;
            watchReads();
        }
        flush();
        if (socket != nullptr && outputBegin == output.size()) {
            dropSource(writeSource);
        }
    }

    void flush()
    {
        while (socket != nullptr && outputBegin < output.size()) {
            GError *error = nullptr;
            const gssize count =
                g_socket_send_with_blocking(socket, output.data() + outputBegin, output.size() - outputBegin, FALSE, nullptr, &error);
            if (count < 0) {
                const bool isFull = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
                const std::string text = error->message;
                g_error_free(error);
                if (isFull) {
                    watchWrites();
                } else {
                    fail({ErrorCode::ConnectionClosed, text});
                }
                return;
            }
            outputBegin += static_cast<std::size_t>(count);
            bytesSent += static_cast<std::uint64_t>(count);
        }
        output.clear();
        outputBegin = 0;
    }

    void read()
    {
        std::array<char, ReadChunkBytes> chunk; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read.
        GError *error = nullptr;
        const gssize count = g_socket_receive_with_blocking(socket, chunk.data(), chunk.size(), FALSE, nullptr, &error);
        if (count < 0) {
            const bool isEmpty = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
            const std::string text = error->message;
            g_error_free(error);
            if (!isEmpty) {
                fail({ErrorCode::ConnectionClosed, text});
            }
            return;
        }
        if (count == 0) {
            fail(input.hasPartialFrame() ? Error {ErrorCode::FrameTruncated, "the peer closed in the middle of a frame"}
                                         : Error {ErrorCode::ConnectionClosed, "closed by the peer"});
            return;
        }
        bytesReceived += static_cast<std::uint64_t>(count);
        input.append({chunk.data(), static_cast<std::size_t>(count)});
        deliver();
    }

    void deliver()
    {
        while (socket != nullptr) {
            Result<std::optional<Frame>> next = input.tryNext();
            if (isError(next)) {
                fail(errorOf(next));
                return;
            }
            std::optional<Frame> frame = valueOf(std::move(next));
            if (!frame || !onFrame) {
                return;
            }
            // The handler may destroy the connection and with it the stored function.
            const FrameHandler handler = onFrame;
            handler(std::move(*frame));
        }
    }
};

PeerConnection::PeerConnection(std::shared_ptr<State> state) : m_state(std::move(state))
{ }

PeerConnection::~PeerConnection()
{
    close();
}

static void configure(GSocket *socket)
{
    g_socket_set_blocking(socket, FALSE);
    // Frames are small and wait for nothing; Nagle's algorithm would add up to 40 ms to each call.
    g_socket_set_option(socket, 6 /* IPPROTO_TCP */, 1 /* TCP_NODELAY */, 1, nullptr);
}

std::unique_ptr<PeerConnection> PeerConnection::connect(const SocketAddress &remote, FrameHandler onFrame, ClosedHandler onClosed)
{
    auto state = std::make_shared<State>();
    state->onFrame = std::move(onFrame);
    state->onClosed = std::move(onClosed);

    GError *error = nullptr;
    GSocketAddress *address = g_inet_socket_address_new_from_string(remote.ip.c_str(), remote.port);
    if (address != nullptr) {
        state->socket = g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
    }
    bool isStarted = false;
    if (state->socket != nullptr) {
        configure(state->socket);
        state->isConnecting = true;
        isStarted = g_socket_connect(state->socket, address, nullptr, &error) || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
    }
    // A failure is told from the main loop, so that the owner is never called back from here.
    if (isStarted) {
        state->watchWrites();
    } else {
        state->release();
        state->failLater(
            {ErrorCode::ConnectionRefused, remote.toString() + ": " + (error != nullptr ? error->message : "not an IP address")});
    }
    g_clear_error(&error);
    g_clear_object(&address);
    return std::unique_ptr<PeerConnection>(new PeerConnection(std::move(state)));
}

std::unique_ptr<PeerConnection> PeerConnection::adopt(GSocket *socket, FrameHandler onFrame, ClosedHandler onClosed)
{
    auto state = std::make_shared<State>();
    state->onFrame = std::move(onFrame);
    state->onClosed = std::move(onClosed);
    state->socket = G_SOCKET(g_object_ref(socket));
    configure(socket);
    state->watchReads();
    return std::unique_ptr<PeerConnection>(new PeerConnection(std::move(state)));
}

void PeerConnection::send(const Frame &frame)
{
    if (m_state->socket == nullptr) {
        return;
    }
    m_state->send(encodeFrame(frame));
}

void PeerConnection::close()
{
    m_state->onFrame = nullptr;
    m_state->onClosed = nullptr;
    m_state->release();
}

bool PeerConnection::isOpen() const
{
    return m_state->socket != nullptr;
}

std::size_t PeerConnection::bytesQueued() const
{
    return m_state->output.size() - m_state->outputBegin;
}

std::uint64_t PeerConnection::bytesSent() const
{
    return m_state->bytesSent;
}

std::uint64_t PeerConnection::bytesReceived() const
{
    return m_state->bytesReceived;
}

} // namespace Fuchsiastep

#include <LibWire/TcpStream.h>

#include <LibCore/SocketSilence.h>
#include <LibWire/SocketWatch.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>

namespace Fuchsiastep {

static constexpr std::size_t ReadChunkBytes = 64 * 1024;

struct TcpStream::State : std::enable_shared_from_this<TcpStream::State>
{
    GSocket *socket = nullptr;
    std::unique_ptr<SocketWatch> watch;
    GSource *connectTimer = nullptr;
    bool isConnecting = false;
    bool isReadingWanted = true;
    bool mustFinish = false;
    bool hasPeerEnded = false;
    std::string output;
    std::size_t outputBegin = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    BytesHandler onBytes;
    EndHandler onEnd;
    FlushedHandler onFlushed;

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
        watch.reset();
        dropSource(connectTimer);
        if (socket != nullptr) {
            g_socket_close(socket, nullptr);
            g_object_unref(socket);
            socket = nullptr;
        }
    }

    void end(const StreamEnd &how)
    {
        release();
        const EndHandler handler = std::move(onEnd);
        onEnd = nullptr;
        onBytes = nullptr;
        onFlushed = nullptr;
        if (handler) {
            handler(how);
        }
    }

    void startWatch()
    {
        watch = std::make_unique<SocketWatch>(g_socket_get_fd(socket), [weak = weak_from_this()](const SocketWatch::Readiness &readiness) {
            if (const auto self = weak.lock()) {
                self->handleReady(readiness);
            }
        });
    }

    void handleReady(const SocketWatch::Readiness &readiness)
    {
        if (isConnecting) {
            if (readiness.isWritable) {
                handleWritable();
            }
            return;
        }
        // What the peer sent before it broke the connection is still read.
        hasPeerEnded = readiness.hasPeerEnded;
        if (readiness.isReadable && isReadingWanted) {
            read();
        }
        if (readiness.isWritable && socket != nullptr && outputBegin < output.size()) {
            handleWritable();
        }
    }

    GSource *attach(GSource *source, GSourceFunc callback)
    {
        auto *self = new std::shared_ptr<State>(shared_from_this());
        g_source_set_callback(source, callback, self, [](gpointer data) { delete static_cast<std::shared_ptr<State> *>(data); });
        g_source_attach(source, nullptr);
        return source;
    }

    void startConnectTimer(Duration timeout)
    {
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
        connectTimer = attach(g_timeout_source_new(static_cast<guint>(milliseconds)), [](gpointer data) -> gboolean {
            const std::shared_ptr<State> self = *static_cast<std::shared_ptr<State> *>(data);
            self->end({true, false, "no connection in time"});
            return G_SOURCE_REMOVE;
        });
    }

    /// Tells a failure to the owner from the main loop.
    void endLater(StreamEnd how)
    {
        auto *later = new std::function<void()>([self = shared_from_this(), how = std::move(how)] { self->end(how); });
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
    void send(std::string bytes)
    {
        std::size_t begin = 0;
        if (!isConnecting && output.empty()) {
            const gssize count = g_socket_send_with_blocking(socket, bytes.data(), bytes.size(), FALSE, nullptr, nullptr);
            begin = count > 0 ? static_cast<std::size_t>(count) : 0;
            bytesSent += begin;
        }
        if (begin < bytes.size()) {
            if (output.empty()) {
                output = std::move(bytes);
                outputBegin = begin;
            } else {
                output.append(bytes);
            }
            watch->setWrites(true);
        }
    }

    void handleWritable()
    {
        if (isConnecting) {
            GError *error = nullptr;
            if (!g_socket_check_connect_result(socket, &error)) {
                const StreamEnd refused {true, false, error->message};
                g_error_free(error);
                end(refused);
                return;
            }
            isConnecting = false;
            dropSource(connectTimer);
            watch->setReads(isReadingWanted);
        }
        flush();
        if (socket != nullptr && outputBegin == output.size()) {
            watch->setWrites(false);
            finishIfWanted();
            const FlushedHandler handler = onFlushed;
            if (handler) {
                handler();
            }
        }
    }

    void finishIfWanted()
    {
        if (mustFinish && socket != nullptr && output.empty() && !isConnecting) {
            mustFinish = false;
            g_socket_shutdown(socket, FALSE, TRUE, nullptr);
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
                    watch->setWrites(true);
                } else {
                    end({false, false, text});
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
                end({false, false, text});
            }
            return;
        }
        if (count == 0) {
            end({false, true, "closed by the peer"});
            return;
        }
        bytesReceived += static_cast<std::uint64_t>(count);
        // The handler may destroy the stream and with it the stored function.
        const BytesHandler handler = onBytes;
        if (handler) {
            handler({chunk.data(), static_cast<std::size_t>(count)});
        }
    }
};

TcpStream::TcpStream(std::shared_ptr<State> state) : m_state(std::move(state))
{ }

TcpStream::~TcpStream()
{
    close();
}

static void configure(GSocket *socket)
{
    g_socket_set_blocking(socket, FALSE);
    // Messages are small and wait for nothing; Nagle's algorithm would add up to 40 ms to each call.
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

std::unique_ptr<TcpStream> TcpStream::connect(const SocketAddress &remote, BytesHandler onBytes, EndHandler onEnd)
{
    auto state = std::make_shared<State>();
    state->onBytes = std::move(onBytes);
    state->onEnd = std::move(onEnd);

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
        state->startWatch();
        state->watch->setWrites(true);
    } else {
        state->release();
        state->endLater({true, false, remote.toString() + ": " + (error != nullptr ? error->message : "not an IP address")});
    }
    g_clear_error(&error);
    g_clear_object(&address);
    return std::unique_ptr<TcpStream>(new TcpStream(std::move(state)));
}

std::unique_ptr<TcpStream> TcpStream::adopt(GSocket *socket, BytesHandler onBytes, EndHandler onEnd)
{
    auto state = std::make_shared<State>();
    state->onBytes = std::move(onBytes);
    state->onEnd = std::move(onEnd);
    state->socket = G_SOCKET(g_object_ref(socket));
    configure(socket);
    state->startWatch();
    state->watch->setReads(true);
    return std::unique_ptr<TcpStream>(new TcpStream(std::move(state)));
}

void TcpStream::setFlushedHandler(FlushedHandler onFlushed)
{
    m_state->onFlushed = std::move(onFlushed);
}

void TcpStream::setSilenceLimit(Duration limit)
{
    if (m_state->socket == nullptr) {
        return;
    }
    limitSilence(m_state->socket, limit);
}

void TcpStream::setConnectTimeout(Duration timeout)
{
    if (m_state->socket != nullptr && m_state->isConnecting) {
        m_state->startConnectTimer(timeout);
    }
}

void TcpStream::send(std::string bytes)
{
    if (m_state->socket != nullptr) {
        m_state->send(std::move(bytes));
    }
}

void TcpStream::setReading(bool isWanted)
{
    if (m_state->isReadingWanted == isWanted) {
        return;
    }
    m_state->isReadingWanted = isWanted;
    if (m_state->socket != nullptr && !m_state->isConnecting) {
        m_state->watch->setReads(isWanted);
    }
}

void TcpStream::finishSending()
{
    m_state->mustFinish = true;
    m_state->finishIfWanted();
}

void TcpStream::close()
{
    m_state->onBytes = nullptr;
    m_state->onEnd = nullptr;
    m_state->onFlushed = nullptr;
    m_state->release();
}

bool TcpStream::isOpen() const
{
    return m_state->socket != nullptr;
}

bool TcpStream::hasPeerEnded() const
{
    return m_state->hasPeerEnded;
}

std::size_t TcpStream::bytesQueued() const
{
    return m_state->output.size() - m_state->outputBegin;
}

std::uint64_t TcpStream::bytesSent() const
{
    return m_state->bytesSent;
}

std::uint64_t TcpStream::bytesReceived() const
{
    return m_state->bytesReceived;
}

} // namespace Fuchsiastep

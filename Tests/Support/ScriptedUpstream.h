#pragma once

#include <LibWire/LibWire.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// An upstream that writes any bytes in answer to requests without a body.
class ScriptedUpstream
{
public:
    struct Reply
    {
        std::string bytes;
        /// Written again and again after the bytes, until the proxy closes the connection.
        std::string endless = {};
        /// The connection ends in order after the bytes.
        bool isLast = false;
    };
    /// \a connection counts the connections from 0, \a request the requests of the connection.
    using Script = std::function<Reply(std::size_t connection, std::size_t request)>;

    explicit ScriptedUpstream(Script script) : m_script(std::move(script))
    {
        m_listener = valueOf(TcpListener::tryListen({"127.0.0.1", 0}, [this](GSocket *socket) { accept(socket); }));
        m_timer = g_timeout_add(
            1,
            [](gpointer data) -> gboolean {
                static_cast<ScriptedUpstream *>(data)->writeEndless();
                return G_SOURCE_CONTINUE;
            },
            this);
    }
    ~ScriptedUpstream()
    {
        g_source_remove(m_timer);
    }
    ScriptedUpstream(const ScriptedUpstream &) = delete;
    ScriptedUpstream &operator=(const ScriptedUpstream &) = delete;

    SocketAddress address() const
    {
        return m_listener->address();
    }
    std::size_t connections() const
    {
        return m_connections.size();
    }
    std::size_t openConnections() const
    {
        std::size_t count = 0;
        for (const auto &connection : m_connections) {
            count += connection->isOpen ? 1 : 0;
        }
        return count;
    }
    std::uint64_t bytesWritten() const
    {
        std::uint64_t bytes = 0;
        for (const auto &connection : m_connections) {
            bytes += connection->stream->bytesSent();
        }
        return bytes;
    }

private:
    struct Connection
    {
        std::unique_ptr<TcpStream> stream;
        std::string input;
        std::size_t requests = 0;
        std::string endless;
        bool isOpen = true;
    };

    void accept(GSocket *socket)
    {
        const std::size_t index = m_connections.size();
        m_connections.push_back(std::make_unique<Connection>());
        Connection &connection = *m_connections.back();
        connection.stream = TcpStream::adopt(
            socket,
            [this, index](std::string_view bytes) { receive(index, bytes); },
            [&connection](const StreamEnd &) { connection.isOpen = false; });
    }

    void receive(std::size_t index, std::string_view bytes)
    {
        constexpr std::string_view EndOfHead = "\r\n\r\n";
        Connection &connection = *m_connections[index];
        connection.input += bytes;
        for (std::size_t end = connection.input.find(EndOfHead); end != std::string::npos; end = connection.input.find(EndOfHead)) {
            connection.input.erase(0, end + EndOfHead.size());
            Reply reply = m_script(index, connection.requests++);
            connection.endless = std::move(reply.endless);
            connection.stream->send(std::move(reply.bytes));
            if (reply.isLast) {
                connection.stream->finishSending();
            }
        }
    }

    void writeEndless()
    {
        constexpr std::size_t ChunkBytes = 256 * 1024;
        for (const auto &connection : m_connections) {
            if (connection->endless.empty() || !connection->isOpen || connection->stream->bytesQueued() > 0) {
                continue;
            }
            std::string chunk;
            while (chunk.size() < ChunkBytes) {
                chunk += connection->endless;
            }
            connection->stream->send(std::move(chunk));
        }
    }

    Script m_script;
    guint m_timer = 0;
    std::unique_ptr<TcpListener> m_listener;
    std::vector<std::unique_ptr<Connection>> m_connections;
};

} // namespace Fuchsiastep

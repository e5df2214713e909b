#pragma once

#include <LibCore/LibCore.h>
#include <LibHttp/LibHttp.h>
#include <LibProxy/SharedIngress.h>
#include <LibProxy/Timer.h>
#include <LibWire/LibWire.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// A whole HTTP request.
struct HttpRequest
{
    std::uint64_t token = 0;
    std::string method;
    std::string path;
    /// Without '?'; empty where there is none.
    std::string query;
    HeaderList headers;
    std::string body;
    /// Why the request cannot be taken; the rest is not known then. RequestMalformed, HeadTooLarge, HeadTimeout or BodyTooLarge.
    ErrorCode rejection = ErrorCode::None;
    /// Path and query byte for byte as the client sent them.
    std::string target;
    /// The client had ended its connection when the request was read; HttpRequestAbandoned follows.
    bool hasClientLeft = false;
};

/// The client closed its connection before its answer was complete.
struct HttpRequestAbandoned
{
    std::uint64_t token = 0;
};

using HttpServerEvent = std::variant<HttpRequest, HttpRequestAbandoned>;

struct HttpAnswer
{
    std::uint64_t token = 0;
    std::uint16_t status = 200;
    HeaderList headers;
    std::string body;
};

/// What clients may send, and how long they may take.
struct HttpServerLimits
{
    HttpLimits sizes;
    /// Time for the head of a request once its first byte has arrived.
    Duration headTime = std::chrono::seconds(10);
    /// Time without a byte inside a body, and without a request on a kept connection.
    Duration idleTime = std::chrono::seconds(60);

    bool operator==(const HttpServerLimits &) const = default;
};

/// An HTTP/1.1 server. It owns its listening sockets, its connections and the requests that wait for an answer. Requests
/// that a client sends before it has its answers are handled side by side and answered in their order.
class HttpServer
{
public:
    using EventHandler = std::function<void(HttpServerEvent event)>;

    HttpServer(std::uint64_t maximumBodyBytes, EventHandler onEvent);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// May be called for several addresses. Fails with ListenFailed.
    Result<Done> tryListen(const SocketAddress &address);
    /// The first address with the port in use.
    SocketAddress address() const;
    /// Applies to connections that are accepted from now on.
    void setLimits(const HttpServerLimits &limits);

    /// Bytes of answers that clients have not read, together. Beyond it the connection with the most of them is closed. One
    /// answer of this length is always kept.
    void limitUnreadAnswers(std::uint64_t bytes);

    /// Requests that have not arrived whole count against \a ingress, which outlives the server.
    void shareIngress(SharedIngress &ingress);
    /// Connections that are open at once. Beyond it, the one that has been without a request for the longest time is closed for
    /// a new one, or the new one where every other has a request.
    void limitConnections(std::size_t count);

    /// Answers a request; has no effect where the client is gone.
    void answer(HttpAnswer answer);
    /// Requests that have no answer yet, or whose answer is still being written.
    std::size_t requestsOpen() const;

    /// Connections end with the answer to the last request that was read on them; idle ones stay open for the next one.
    /// New connections are still accepted. Clients that send requests before they have their answers would keep a connection
    /// open for good, so that after \a pipelineTime none is read behind an open one.
    void startClosing(Duration pipelineTime);

private:
    struct Exchange;
    struct Connection;

    void accept(GSocket *socket);
    void receive(Connection &connection, std::string_view bytes);
    bool mayOpenNext(const Connection &connection) const;
    void parse(Connection &connection);
    void open(Connection &connection, HttpMessage message, ErrorCode rejection);
    void writeAnswers(Connection &connection);
    void abandon(std::uint64_t connectionId);
    void closeLargestUnread();
    void sweep();
    bool isOverdue(const Connection &connection) const;
    void reject(Connection &connection, ErrorCode reason);
    void scheduleSweep();
    void updateIngress(Connection &connection);
    void giveUp(std::uint64_t connectionId);
    /// Closes an idle connection. Returns false where there is none.
    bool closeIdle();

    Clock m_clock = Clock::system();
    HttpServerLimits m_limits;
    std::uint64_t m_maximumUnreadBytes = 64ULL * 1024 * 1024;
    /// At least the bytes of answers that clients have not read.
    std::uint64_t m_unreadEstimate = 0;
    SharedIngress *m_ingress = nullptr;
    std::uint32_t m_ingressNumber = 0;
    std::size_t m_maximumConnections = std::numeric_limits<std::size_t>::max();
    EventHandler m_onEvent;
    std::vector<std::unique_ptr<TcpListener>> m_listeners;
    std::uint64_t m_nextToken = 1;
    std::uint64_t m_nextConnectionId = 1;
    bool m_isClosing = false;
    TimePoint m_pipelinesUntil;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    /// Connection of each open request.
    std::map<std::uint64_t, std::uint64_t> m_connectionOfToken;
    bool m_isSweepScheduled = false;
    Timer m_sweepTimer;
};

} // namespace Fuchsiastep

#include <LibProxy/HttpServer.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace Fuchsiastep {

/// Requests of one connection that are handled side by side; further ones wait in the parser.
static constexpr std::size_t MaximumPipelined = 32;
/// Time that a client has to notice the end of its connection before the socket is closed.
static constexpr Duration LingerTime = std::chrono::seconds(2);
static constexpr Duration SweepInterval = std::chrono::milliseconds(250);
/// Room for the heads of answers beside the limit on unread bytes.
static constexpr std::uint64_t UnreadHeadBytes = 64 * 1024;
static constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

struct HttpServer::Exchange
{
    std::uint64_t token = 0;
    bool isHead = false;
    /// The client or the server ends the connection after this answer.
    bool isLast = false;
    std::optional<HttpMessage> answer;
};

struct HttpServer::Connection
{
    std::uint64_t id = 0;
    std::unique_ptr<TcpStream> stream;
    HttpParser parser;
    HttpServerLimits limits;
    std::deque<Exchange> exchanges;
    TimePoint lastByteAt;
    /// When the first byte of the current request arrived.
    std::optional<TimePoint> startedAt;
    /// Nothing more is read as a request; the connection ends at this time.
    std::optional<TimePoint> closesAt;
    bool isReadingDone = false;
    /// Bytes that arrived and are no whole request yet.
    std::size_t unparsedBytes = 0;

    explicit Connection(const HttpServerLimits &wanted) : parser(HttpParser::Kind::Request, wanted.sizes), limits(wanted)
    { }

    std::uint64_t unreadBytes() const
    {
        std::uint64_t bytes = stream->bytesQueued();
        for (const Exchange &exchange : exchanges) {
            bytes += exchange.answer ? exchange.answer->body.size() : 0;
        }
        return bytes;
    }
};

HttpServer::HttpServer(std::uint64_t maximumBodyBytes, EventHandler onEvent)
    : m_onEvent(std::move(onEvent)), m_sweepTimer(m_clock, [this] { sweep(); })
{
    m_limits.sizes.bodyBytes = maximumBodyBytes;
}

HttpServer::~HttpServer() = default;

Result<Done> HttpServer::tryListen(const SocketAddress &address)
{
    Result<std::unique_ptr<TcpListener>> listener = TcpListener::tryListen(address, [this](GSocket *socket) { accept(socket); });
    if (isError(listener)) {
        return errorOf(listener);
    }
    m_listeners.push_back(valueOf(std::move(listener)));
    return Done {};
}

SocketAddress HttpServer::address() const
{
    return m_listeners.empty() ? SocketAddress() : m_listeners.front()->address();
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_limits = limits;
}

void HttpServer::limitUnreadAnswers(std::uint64_t bytes)
{
    m_maximumUnreadBytes = bytes;
}

void HttpServer::shareIngress(SharedIngress &ingress)
{
    m_ingress = &ingress;
    m_ingressNumber = ingress.addServer([this](std::uint64_t connectionId) { giveUp(connectionId); });
}

void HttpServer::limitConnections(std::size_t count)
{
    m_maximumConnections = count;
}

bool HttpServer::closeIdle()
{
    const Connection *idle = nullptr;
    for (const auto &[id, connection] : m_connections) {
        const bool isIdle = connection->exchanges.empty() && connection->stream->bytesQueued() == 0;
        if (isIdle && (idle == nullptr || connection->lastByteAt < idle->lastByteAt)) {
            idle = connection.get();
        }
    }
    if (idle == nullptr) {
        return false;
    }
    abandon(idle->id);
    return true;
}

void HttpServer::giveUp(std::uint64_t connectionId)
{
    const auto found = m_connections.find(connectionId);
    if (found == m_connections.end()) {
        return;
    }
    // The connection may be the one that is being read; it is closed by the sweep.
    Connection &connection = *found->second;
    logEvent(LogEvent::RequestGivenUp, {{"bytes", connection.parser.bytesHeld()}, {"limit", m_ingress->budget().limitBytes()}});
    connection.parser.discard();
    connection.isReadingDone = true;
    connection.stream->setReading(false);
    connection.closesAt = m_clock.now();
    m_sweepTimer.setDeadline(m_clock.now());
}

void HttpServer::updateIngress(Connection &connection)
{
    if (m_ingress != nullptr) {
        m_ingress->update({m_ingressNumber, connection.id}, connection.parser.bytesHeld(), connection.lastByteAt);
    }
}

void HttpServer::accept(GSocket *socket)
{
    if (m_connections.size() >= m_maximumConnections && !closeIdle()) {
        logEvent(LogEvent::ConnectionRefused, {{"connections", m_connections.size()}});
        return;
    }
    const std::uint64_t id = m_nextConnectionId++;
    auto connection = std::make_unique<Connection>(m_limits);
    connection->id = id;
    connection->lastByteAt = m_clock.now();
    connection->stream = TcpStream::adopt(
        socket,
        [this, id](std::string_view bytes) { receive(*m_connections.at(id), bytes); },
        [this, id](const StreamEnd &) { abandon(id); });
    connection->stream->setFlushedHandler([this, id] {
        const auto found = m_connections.find(id);
        if (found != m_connections.end()) {
            writeAnswers(*found->second);
        }
    });
    m_connections[id] = std::move(connection);
    scheduleSweep();
}

void HttpServer::receive(Connection &connection, std::string_view bytes)
{
    connection.lastByteAt = m_clock.now();
    if (connection.isReadingDone) {
        return;
    }
    connection.unparsedBytes += bytes.size();
    connection.parser.append(bytes);
    const std::uint64_t id = connection.id;
    parse(connection);
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
        updateIngress(*found->second);
    }
}

bool HttpServer::mayOpenNext(const Connection &connection) const
{
    // A request behind the last answer of its connection gets none, so that none is opened that could end up there. Its
    // client sends it again elsewhere.
    const std::size_t maximum = m_isClosing && m_clock.now() >= m_pipelinesUntil ? 1 : MaximumPipelined;
    return !connection.isReadingDone && connection.exchanges.size() < maximum;
}

void HttpServer::parse(Connection &connection)
{
    const std::uint64_t id = connection.id;
    while (mayOpenNext(connection)) {
        Result<std::optional<HttpMessage>> next = connection.parser.tryNext();
        if (isError(next)) {
            reject(connection, errorOf(next).code);
            return;
        }
        std::optional<HttpMessage> message = valueOf(std::move(next));
        if (!message) {
            break;
        }
        connection.startedAt.reset();
        connection.unparsedBytes = 0;
        open(connection, std::move(*message), ErrorCode::None);
        // The owner may have ended the connection while it handled the request.
        if (!m_connections.contains(id)) {
            return;
        }
    }
    if (connection.isReadingDone) {
        return;
    }
    if (connection.parser.takeContinueWish()) {
        connection.stream->send(std::string(ContinueResponse));
    }
    if (!connection.parser.isBetweenMessages() && !connection.startedAt) {
        connection.startedAt = m_clock.now();
    }
    if (connection.unparsedBytes > connection.limits.sizes.headBytes + 2 * connection.limits.sizes.bodyBytes) {
        // A client that pipelines without reading its answers would fill the memory.
        reject(connection, ErrorCode::BodyTooLarge);
    }
}

void HttpServer::reject(Connection &connection, ErrorCode reason)
{
    connection.isReadingDone = true;
    HttpMessage message;
    message.isLast = true;
    open(connection, std::move(message), reason);
}

void HttpServer::open(Connection &connection, HttpMessage message, ErrorCode rejection)
{
    HttpRequest request;
    request.token = m_nextToken++;
    request.rejection = rejection;
    request.method = std::move(message.method);
    const std::size_t query = message.target.find('?');
    request.path = message.target.substr(0, query);
    request.query = query == std::string::npos ? std::string() : message.target.substr(query + 1);
    request.target = std::move(message.target);
    request.headers = std::move(message.headers);
    request.body = std::move(message.body);
    request.hasClientLeft = connection.stream->hasPeerEnded();
    connection.exchanges.push_back({request.token, request.method == "HEAD", message.isLast, std::nullopt});
    connection.isReadingDone = connection.isReadingDone || message.isLast;
    m_connectionOfToken[request.token] = connection.id;
    m_onEvent(std::move(request));
}

void HttpServer::answer(HttpAnswer answer)
{
    const auto known = m_connectionOfToken.find(answer.token);
    if (known == m_connectionOfToken.end()) {
        return;
    }
    Connection &connection = *m_connections.at(known->second);
    const auto exchange = std::find_if(connection.exchanges.begin(), connection.exchanges.end(), [&](const Exchange &candidate) {
        return candidate.token == answer.token;
    });
    if (exchange == connection.exchanges.end() || exchange->answer) {
        return;
    }
    HttpMessage message;
    message.status = answer.status;
    message.headers = std::move(answer.headers);
    message.body = std::move(answer.body);
    m_unreadEstimate += message.body.size();
    exchange->answer = std::move(message);
    writeAnswers(connection);
    if (m_unreadEstimate > m_maximumUnreadBytes + UnreadHeadBytes) {
        // The owner is not told of the end of other requests while it hands over an answer.
        m_sweepTimer.setDeadline(m_clock.now());
    }
}

void HttpServer::writeAnswers(Connection &connection)
{
    const std::size_t openBefore = connection.exchanges.size();
    while (!connection.exchanges.empty() && connection.exchanges.front().answer && connection.stream->bytesQueued() == 0
        && !connection.closesAt) {
        Exchange &exchange = connection.exchanges.front();
        const bool isLast = exchange.isLast || (m_isClosing && connection.exchanges.size() == 1);
        exchange.answer->isLast = isLast;
        std::string bytes = serializeResponse(*exchange.answer, exchange.isHead);
        exchange.answer.reset();
        connection.stream->send(std::move(bytes));
        if (isLast) {
            connection.isReadingDone = true;
            connection.closesAt = m_clock.now() + LingerTime;
            connection.stream->finishSending();
        }
        m_connectionOfToken.erase(exchange.token);
        connection.exchanges.pop_front();
    }
    if (openBefore == MaximumPipelined && connection.exchanges.size() < MaximumPipelined) {
        parse(connection);
    }
}

std::size_t HttpServer::requestsOpen() const
{
    const auto isWriting = [](const auto &entry) {
        return entry.second->stream->bytesQueued() > 0;
    };
    return m_connectionOfToken.size() + static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), isWriting));
}

void HttpServer::startClosing(Duration pipelineTime)
{
    m_isClosing = true;
    m_pipelinesUntil = m_clock.now() + pipelineTime;
}

void HttpServer::abandon(std::uint64_t connectionId)
{
    const auto found = m_connections.find(connectionId);
    if (found == m_connections.end()) {
        return;
    }
    const std::unique_ptr<Connection> connection = std::move(found->second);
    m_connections.erase(found);
    if (m_ingress != nullptr) {
        m_ingress->remove({m_ingressNumber, connectionId});
    }
    for (const Exchange &exchange : connection->exchanges) {
        m_connectionOfToken.erase(exchange.token);
        m_onEvent(HttpRequestAbandoned {exchange.token});
    }
}

void HttpServer::closeLargestUnread()
{
    m_unreadEstimate = 0;
    std::uint64_t largestBytes = 0;
    std::uint64_t largestId = 0;
    for (const auto &[id, connection] : m_connections) {
        const std::uint64_t bytes = connection->unreadBytes();
        m_unreadEstimate += bytes;
        if (bytes > largestBytes) {
            largestBytes = bytes;
            largestId = id;
        }
    }
    if (m_unreadEstimate <= m_maximumUnreadBytes + UnreadHeadBytes) {
        return;
    }
    logEvent(LogEvent::CallerDoesNotRead, {{"bytes", largestBytes}, {"all_bytes", m_unreadEstimate}});
    m_unreadEstimate -= largestBytes;
    abandon(largestId);
}

bool HttpServer::isOverdue(const Connection &connection) const
{
    const TimePoint now = m_clock.now();
    if (connection.closesAt) {
        return now >= *connection.closesAt;
    }
    return connection.exchanges.empty() && connection.stream->bytesQueued() == 0
        && now >= connection.lastByteAt + connection.limits.idleTime;
}

void HttpServer::sweep()
{
    m_isSweepScheduled = false;
    while (m_unreadEstimate > m_maximumUnreadBytes + UnreadHeadBytes) {
        closeLargestUnread();
    }
    std::vector<std::uint64_t> overdue;
    std::vector<Connection *> slow;
    for (const auto &[id, connection] : m_connections) {
        if (isOverdue(*connection)) {
            overdue.push_back(id);
        } else if (!connection->isReadingDone && connection->startedAt && !connection->parser.hasHead()
            && m_clock.now() >= *connection->startedAt + connection->limits.headTime) {
            slow.push_back(connection.get());
        }
    }
    for (Connection *connection : slow) {
        reject(*connection, ErrorCode::HeadTimeout);
    }
    for (const std::uint64_t id : overdue) {
        abandon(id);
    }
    scheduleSweep();
}

void HttpServer::scheduleSweep()
{
    if (!m_isSweepScheduled && !m_connections.empty()) {
        m_isSweepScheduled = true;
        m_sweepTimer.setDeadline(m_clock.now() + SweepInterval);
    }
}

} // namespace Fuchsiastep

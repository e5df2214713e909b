#include <LibProxy/UpstreamClient.h>

#include <algorithm>
#include <set>

namespace Fuchsiastep {

/// A run is given up after twice the time that it was granted, since a run that holds a key outlives its caller, and not
/// before this time. An upstream that hangs gives its slot back then.
static constexpr Duration ShortestGivenUp = std::chrono::seconds(120);
static constexpr Duration ExpiryInterval = std::chrono::seconds(5);
/// An upstream that does not say how long it keeps idle connections is assumed to keep them this long.
static constexpr Duration AssumedKeepAlive = std::chrono::seconds(4);
/// A kept connection is used until this long before the upstream closes it, so that a request and the close do not cross.
static constexpr Duration KeepAliveMargin = std::chrono::seconds(1);
/// A request that may not be repeated uses a connection that was used this recently, because no upstream closes one that
/// soon; on an older one it could meet the close, and its outcome would be unknown for no reason.
static constexpr Duration RecentUse = std::chrono::milliseconds(1500);
/// The upstream is on the same instance and answers a connection attempt at once.
static constexpr Duration ConnectTime = std::chrono::seconds(1);
/// Head of an answer.
static constexpr std::uint32_t MaximumHeadBytes = 64 * 1024;

/// A connection with more refusals is replaced.
static constexpr std::size_t MaximumRefusedIds = 64;

struct UpstreamClient::Exchange
{
    std::uint64_t localId = 0;
    /// Without the body.
    RequestFrame request;
    TimePoint startedAt;
    TimePoint givenUpAt;
};

struct UpstreamClient::Connection
{
    std::uint64_t id = 0;
    std::unique_ptr<TcpStream> stream;
    HttpParser parser;
    std::unique_ptr<Exchange> exchange;
    TimePoint usedAt;
    TimePoint keptUntil;
    /// Closed once the current exchange ends.
    bool isLast = false;
    AnswerOrigin origin = AnswerOrigin::NewConnection;
    /// Bytes received before the current exchange.
    std::uint64_t earlierBytes = 0;
    /// Ids of the requests that were refused here.
    std::set<std::string> refusedIds;

    explicit Connection(const HttpLimits &limits) : parser(HttpParser::Kind::Response, limits)
    { }
};

UpstreamClient::UpstreamClient(const Clock &clock, const EdgeProtocol &protocol, const UpstreamAnswerLimits &limits, EventHandler onEvent)
    : m_clock(clock), m_protocol(protocol), m_limits(limits), m_onEvent(std::move(onEvent)), m_expiryTimer(clock, [this] { expireRuns(); })
{ }

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::setUpstream(const SocketAddress &address, std::uint32_t connections)
{
    m_maximumConnections = std::max<std::uint32_t>(connections, 1);
    if (m_address == address) {
        return;
    }
    m_address = address;
    closeIdleConnections();
    for (auto &[id, connection] : m_connections) {
        connection->isLast = true;
    }
}

void UpstreamClient::closeIdleConnections()
{
    std::erase_if(m_connections, [](const auto &entry) { return entry.second->exchange == nullptr; });
}

UpstreamClient::Connection *UpstreamClient::idleConnection(const RequestFrame &request)
{
    if (m_protocol.doAnswersNameRequests && request.traceId.empty()) {
        // Its answer could not be distinguished from an earlier one.
        return nullptr;
    }
    const TimePoint now = m_clock.now();
    std::erase_if(m_connections, [&](const auto &entry) { return entry.second->exchange == nullptr && now >= entry.second->keptUntil; });
    Connection *latest = nullptr;
    for (const auto &[id, connection] : m_connections) {
        const bool isUsable = connection->exchange == nullptr && !connection->refusedIds.contains(request.traceId);
        if (isUsable && (latest == nullptr || connection->usedAt > latest->usedAt)) {
            latest = connection.get();
        }
    }
    if (latest != nullptr && !request.isRepeatable && now > latest->usedAt + RecentUse) {
        return nullptr;
    }
    return latest;
}

UpstreamClient::Connection &UpstreamClient::openConnection()
{
    const std::uint64_t id = m_nextConnectionId++;
    auto connection = std::make_unique<Connection>(HttpLimits {MaximumHeadBytes, m_limits.answerBytes});
    connection->id = id;
    connection->stream = TcpStream::connect(
        m_address, [this, id](std::string_view bytes) { receive(id, bytes); }, [this, id](const StreamEnd &how) { end(id, how); });
    connection->stream->setReading(m_isReadingWanted);
    return *(m_connections[id] = std::move(connection));
}

void UpstreamClient::start(std::uint64_t localId, const RequestFrame &request, Duration timeLeft)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->localId = localId;
    HttpMessage message = m_protocol.formatUpstreamRequest(request, timeLeft);
    message.headers.try_emplace("host", m_address.toString());
    std::string bytes = serializeRequest(message);
    exchange->request = request;
    exchange->request.body.clear();
    exchange->startedAt = m_clock.now();
    exchange->givenUpAt = exchange->startedAt + std::max(ShortestGivenUp, 2 * timeLeft);
    Connection *connection = idleConnection(request);
    if (connection == nullptr && m_connections.size() >= m_maximumConnections) {
        closeIdleConnections();
    }
    if (connection == nullptr && m_connections.size() >= m_maximumConnections) {
        m_onEvent(UpstreamRequestFailed {localId, false, false, {ErrorCode::UpstreamBusy, "every connection is in use"}});
        return;
    }
    send(connection != nullptr ? *connection : openConnection(), std::move(exchange), std::move(bytes));
}

void UpstreamClient::send(Connection &connection, std::unique_ptr<Exchange> exchange, std::string bytes)
{
    if (exchange->request.method == "HEAD") {
        connection.parser.expectNoBody();
        connection.isLast = true;
    }
    connection.exchange = std::move(exchange);
    connection.earlierBytes = connection.stream->bytesReceived();
    connection.stream->send(std::move(bytes));
    m_expiryTimer.setDeadline(m_clock.now() + ExpiryInterval);
}

void UpstreamClient::receive(std::uint64_t connectionId, std::string_view bytes)
{
    const auto found = m_connections.find(connectionId);
    if (found == m_connections.end()) {
        return;
    }
    Connection &connection = *found->second;
    if (connection.exchange == nullptr) {
        // Nothing was asked: these bytes belong to no request, and what follows cannot be told apart from an answer.
        m_connections.erase(found);
        return;
    }
    connection.parser.append(bytes);
    while (true) {
        Result<std::optional<HttpMessage>> next = connection.parser.tryNext();
        if (isError(next)) {
            fail(connectionId, true, false, errorOf(next));
            return;
        }
        std::optional<HttpMessage> message = valueOf(std::move(next));
        if (!message) {
            break;
        }
        const UpstreamAnswerKind kind = m_protocol.classifyAnswer(connection.exchange->request, *message, connection.origin);
        if (kind != UpstreamAnswerKind::Foreign) {
            complete(connection, std::move(*message), kind);
            return;
        }
        connection.isLast = true;
        if (message->isLast) {
            fail(connectionId, true, false, {ErrorCode::AnswerTruncated, "the upstream answered another request and closed"});
            return;
        }
    }
    // The parser bounds each message, but not how many precede the answer.
    if (connection.stream->bytesReceived() - connection.earlierBytes > 2 * m_limits.answerBytes + MaximumHeadBytes) {
        fail(connectionId, true, false, {ErrorCode::AnswerTooLarge, "the upstream writes without end"});
        return;
    }
    endLargestBeyondLimit();
}

void UpstreamClient::setReading(bool isWanted)
{
    if (m_isReadingWanted == isWanted) {
        return;
    }
    m_isReadingWanted = isWanted;
    for (const auto &[id, connection] : m_connections) {
        connection->stream->setReading(isWanted);
    }
}

std::uint64_t UpstreamClient::bytesHeld() const
{
    std::uint64_t held = 0;
    for (const auto &[id, connection] : m_connections) {
        held += connection->parser.bytesHeld();
    }
    return held;
}

void UpstreamClient::endLargestBeyondLimit()
{
    const std::uint64_t held = bytesHeld();
    if (held <= m_limits.readBytes) {
        return;
    }
    const auto isSmaller = [](const auto &left, const auto &right) {
        return left.second->parser.bytesHeld() < right.second->parser.bytesHeld();
    };
    const auto largest = std::max_element(m_connections.begin(), m_connections.end(), isSmaller);
    fail(largest->first, true, false, {ErrorCode::AnswerTooLarge, "the largest of answers with " + std::to_string(held) + " bytes"});
}

void UpstreamClient::complete(Connection &connection, HttpMessage message, UpstreamAnswerKind kind)
{
    const std::unique_ptr<Exchange> exchange = std::move(connection.exchange);
    const TimePoint now = m_clock.now();
    connection.usedAt = now;
    connection.keptUntil = now + std::max(Duration(0), message.keepAlive.value_or(AssumedKeepAlive) - KeepAliveMargin);
    // An answer that comes before the whole request was taken leaves a connection on which the rest would be read as
    // the next request; bytes behind an answer belong to no request.
    const bool isRefusal = kind == UpstreamAnswerKind::Refusal;
    const bool isRecognisable = !isRefusal || (m_protocol.doAnswersNameRequests && connection.refusedIds.size() < MaximumRefusedIds);
    const bool isReusable = !message.isLast && !connection.isLast && connection.stream->bytesQueued() == 0
        && connection.parser.isBetweenMessages() && connection.stream->isOpen() && isRecognisable;
    connection.origin = AnswerOrigin::UsedConnection;
    if (isRefusal) {
        connection.refusedIds.insert(exchange->request.traceId);
    }
    if (!isReusable) {
        m_connections.erase(connection.id);
    }
    UpstreamAnswered answered;
    answered.localId = exchange->localId;
    answered.status = message.status;
    answered.headers = std::move(message.headers);
    answered.body = std::move(message.body);
    answered.wasRefused = isRefusal;
    answered.elapsed = now - exchange->startedAt;
    m_onEvent(std::move(answered));
}

void UpstreamClient::end(std::uint64_t connectionId, const StreamEnd &how)
{
    const auto found = m_connections.find(connectionId);
    if (found == m_connections.end()) {
        return;
    }
    Connection &connection = *found->second;
    if (connection.exchange == nullptr) {
        m_connections.erase(found);
        return;
    }
    if (how.isOrderly) {
        Result<std::optional<HttpMessage>> last = connection.parser.tryEnd();
        const bool isWhole = !isError(last) && valueOf(last);
        const UpstreamAnswerKind kind = isWhole ? m_protocol.classifyAnswer(connection.exchange->request, *valueOf(last), connection.origin)
                                                : UpstreamAnswerKind::Foreign;
        if (kind != UpstreamAnswerKind::Foreign) {
            complete(connection, *valueOf(std::move(last)), kind);
            return;
        }
    }
    const ErrorCode code = how.neverConnected ? ErrorCode::ConnectionRefused : ErrorCode::ConnectionClosed;
    fail(connectionId, !how.neverConnected, true, {code, how.detail});
}

void UpstreamClient::fail(std::uint64_t connectionId, bool mayHaveRun, bool isConnectionBroken, Error error)
{
    const auto found = m_connections.find(connectionId);
    const std::unique_ptr<Connection> ended = std::move(found->second);
    m_connections.erase(found);
    m_onEvent(UpstreamRequestFailed {ended->exchange->localId, mayHaveRun, isConnectionBroken, std::move(error)});
}

void UpstreamClient::abort(std::uint64_t localId)
{
    const auto found = std::find_if(m_connections.begin(), m_connections.end(), [localId](const auto &entry) {
        return entry.second->exchange != nullptr && entry.second->exchange->localId == localId;
    });
    if (found != m_connections.end()) {
        fail(found->first, true, false, {ErrorCode::Cancelled, "broken off"});
    }
}

void UpstreamClient::checkListening(std::function<void(bool isListening)> onResult)
{
    const std::uint64_t id = m_nextCheckId++;
    auto handler = std::make_shared<std::function<void(bool)>>(std::move(onResult));
    const auto finish = [this, id, handler](bool isListening) {
        if (*handler) {
            const std::function<void(bool)> callback = std::move(*handler);
            *handler = nullptr;
            m_checks.erase(id);
            callback(isListening);
        }
    };
    auto stream = TcpStream::connect(
        m_address, [](std::string_view) {}, [finish](const StreamEnd &how) { finish(!how.neverConnected); });
    // An upstream that hangs is not gone: only a refused connection tells that nobody listens.
    stream->setSilenceLimit(ConnectTime);
    stream->setFlushedHandler([finish] { finish(true); });
    m_checks[id] = std::move(stream);
}

void UpstreamClient::expireRuns()
{
    std::vector<std::uint64_t> overdue;
    bool isAnyRunning = false;
    for (const auto &[id, connection] : m_connections) {
        if (connection->exchange == nullptr) {
            continue;
        }
        isAnyRunning = true;
        if (m_clock.now() > connection->exchange->givenUpAt) {
            overdue.push_back(id);
        }
    }
    for (const std::uint64_t id : overdue) {
        fail(id, true, false, {ErrorCode::DeadlineExceeded, "the upstream hangs"});
    }
    if (isAnyRunning) {
        m_expiryTimer.setDeadline(m_clock.now() + ExpiryInterval);
    }
}

} // namespace Fuchsiastep

#include <LibProxy/PeerLinks.h>

namespace Fuchsiastep {

/// Time for a peer's Hello.
static constexpr Duration HelloTime = std::chrono::seconds(10);
/// An outgoing connection without frames is closed after this time, but not while a request on it may still be answered.
static constexpr Duration IdleTime = std::chrono::seconds(120);

struct PeerLinks::Link
{
    std::uint64_t id = 0;
    bool isOutgoing = false;
    /// The peer's Hello arrived.
    bool isEstablished = false;
    /// Key in m_outgoing.
    std::string outgoingKey;
    /// The id that the peer gave in its Hello; before that, the id that an outgoing connection is meant for.
    std::string proxyId;
    std::uint64_t incarnation = 0;
    SocketAddress address;
    TimePoint lastUsed;
    /// No request that was sent is answered later.
    TimePoint answersUntil;
    std::unique_ptr<PeerConnection> connection;

    /// A connection that was opened to an address, before the proxy there was known, is never used by sendTo().
    bool carriesRequests() const
    {
        return isOutgoing && outgoingKey == proxyId;
    }
};

static bool isControlFrame(const Frame &frame)
{
    return !std::holds_alternative<RequestFrame>(frame) && !std::holds_alternative<AnswerFrame>(frame)
        && !std::holds_alternative<AnswerPartFrame>(frame) && !std::holds_alternative<AnswerPartAckFrame>(frame)
        && !std::holds_alternative<CancelFrame>(frame);
}

PeerLinks::PeerLinks(HelloFrame self, std::uint64_t maximumQueuedBytes, const Clock &clock, MetricsRegistry &metrics, EventHandler onEvent)
    : m_self(std::move(self)), m_maximumQueuedBytes(maximumQueuedBytes), m_clock(clock), m_metrics(metrics), m_onEvent(std::move(onEvent))
{ }

PeerLinks::~PeerLinks() = default;

Result<Done> PeerLinks::tryListen(const SocketAddress &address)
{
    Result<std::unique_ptr<TcpListener>> listener = TcpListener::tryListen(address, [this](GSocket *socket) { accept(socket); });
    if (isError(listener)) {
        return errorOf(listener);
    }
    m_listener = valueOf(std::move(listener));
    return Done {};
}

SocketAddress PeerLinks::address() const
{
    return m_listener ? m_listener->address() : SocketAddress {};
}

PeerLinks::Link &PeerLinks::addLink(bool isOutgoing)
{
    const std::uint64_t id = m_nextConnectionId++;
    auto link = std::make_unique<Link>();
    link->id = id;
    link->isOutgoing = isOutgoing;
    link->lastUsed = m_clock.now();
    return *(m_links[id] = std::move(link));
}

void PeerLinks::accept(GSocket *socket)
{
    Link &link = addLink(false);
    const std::uint64_t id = link.id;
    link.connection = PeerConnection::adopt(
        socket,
        [this, id](Frame frame) { handleFrame(id, std::move(frame)); },
        [this, id](const Error &error) { handleClosed(id, error); });
    link.connection->send(m_self);
}

std::uint64_t PeerLinks::sendTo(const std::string &proxyId, const SocketAddress &address, const Frame &frame)
{
    const auto known = m_outgoing.find(proxyId);
    if (known != m_outgoing.end()) {
        Link &link = *m_links.at(known->second);
        if (link.address == address) {
            send(link, frame);
            return link.id;
        }
        // The peer was replaced at another address; what waits on the old connection is lost.
        const std::uint64_t oldId = link.id;
        handleClosed(oldId, {ErrorCode::ConnectionClosed, "the peer has another address"});
    }
    Link &link = addLink(true);
    const std::uint64_t id = link.id;
    link.outgoingKey = proxyId;
    link.proxyId = proxyId;
    link.address = address;
    link.connection = PeerConnection::connect(
        address,
        [this, id](Frame received) { handleFrame(id, std::move(received)); },
        [this, id](const Error &error) { handleClosed(id, error); });
    link.connection->send(m_self);
    m_outgoing[proxyId] = id;
    send(link, frame);
    return id;
}

void PeerLinks::sendToOpen(const std::string &proxyId, const Frame &frame)
{
    const auto known = m_outgoing.find(proxyId);
    if (known != m_outgoing.end()) {
        send(*m_links.at(known->second), frame);
    }
}

bool PeerLinks::sendAnyWay(const std::string &proxyId, const std::optional<SocketAddress> &address, const Frame &frame)
{
    const auto outgoing = m_outgoing.find(proxyId);
    const auto incoming = m_incoming.find(proxyId);
    if (outgoing == m_outgoing.end() && incoming != m_incoming.end()) {
        send(*m_links.at(incoming->second), frame);
        return true;
    }
    if (address) {
        sendTo(proxyId, *address, frame);
        return true;
    }
    sendToOpen(proxyId, frame);
    return outgoing != m_outgoing.end();
}

void PeerLinks::sendToAddress(const SocketAddress &address, const Frame &frame)
{
    sendTo(address.toString(), address, frame);
}

void PeerLinks::sendOn(std::uint64_t connectionId, const Frame &frame)
{
    const auto link = m_links.find(connectionId);
    if (link != m_links.end()) {
        send(*link->second, frame);
    }
}

void PeerLinks::send(Link &link, const Frame &frame)
{
    link.lastUsed = m_clock.now();
    if (const auto *request = std::get_if<RequestFrame>(&frame)) {
        link.answersUntil = std::max(link.answersUntil, m_clock.now() + std::chrono::milliseconds(request->timeLeftMs));
    }
    if (link.connection->bytesQueued() > m_maximumQueuedBytes) {
        handleClosed(link.id, {ErrorCode::ConnectionClosed, "the peer does not read"});
        return;
    }
    const auto accepted = [&link] {
        return link.connection->bytesSent() + link.connection->bytesQueued();
    };
    const std::uint64_t before = accepted();
    link.connection->send(frame);
    if (isControlFrame(frame)) {
        m_metrics.count("fuchsiastep_control_bytes_total", "path=\"tcp\"", accepted() - before);
        m_metrics.count("fuchsiastep_control_messages_total", "path=\"tcp\"");
    }
}

bool PeerLinks::hasQueuedBytes() const
{
    for (const auto &[id, link] : m_links) {
        if (link->connection->bytesQueued() > 0) {
            return true;
        }
    }
    return false;
}

bool PeerLinks::isConnected(const std::string &proxyId) const
{
    const auto outgoing = m_outgoing.find(proxyId);
    return m_incoming.contains(proxyId) || (outgoing != m_outgoing.end() && m_links.at(outgoing->second)->isEstablished);
}

void PeerLinks::handleFrame(std::uint64_t connectionId, Frame frame)
{
    const auto found = m_links.find(connectionId);
    if (found == m_links.end()) {
        return;
    }
    Link &link = *found->second;
    link.lastUsed = m_clock.now();
    if (const auto *hello = std::get_if<HelloFrame>(&frame)) {
        if (hello->protocol != HelloFrame::CurrentProtocol) {
            handleClosed(connectionId, {ErrorCode::ProtocolViolation, "protocol " + std::to_string(hello->protocol)});
            return;
        }
        link.isEstablished = true;
        link.incarnation = hello->incarnation;
        const bool isMeantForOther = link.isOutgoing && link.outgoingKey != link.address.toString() && link.outgoingKey != hello->proxyId;
        if (isMeantForOther) {
            // Another proxy took over the address. Frames for the old one must not be answered by it.
            handleClosed(connectionId, {ErrorCode::ProtocolViolation, "expected " + link.outgoingKey + ", found " + hello->proxyId});
            return;
        }
        link.proxyId = hello->proxyId;
        if (!link.isOutgoing) {
            m_incoming[link.proxyId] = connectionId;
        }
        logEvent(LogEvent::PeerConnected, {{"peer", hello->proxyId}, {"connection", connectionId}});
        m_onEvent(PeerLinkEstablished {connectionId, link.proxyId, link.incarnation, link.carriesRequests()});
        return;
    }
    if (!link.isEstablished) {
        handleClosed(connectionId, {ErrorCode::ProtocolViolation, "the first frame is not Hello"});
        return;
    }
    m_onEvent(PeerFrameReceived {connectionId, link.proxyId, link.incarnation, std::move(frame)});
}

static void forget(std::map<std::string, std::uint64_t> &connections, const std::string &key, std::uint64_t connectionId)
{
    const auto known = connections.find(key);
    if (known != connections.end() && known->second == connectionId) {
        connections.erase(known);
    }
}

void PeerLinks::handleClosed(std::uint64_t connectionId, const Error &error)
{
    const auto found = m_links.find(connectionId);
    if (found == m_links.end()) {
        return;
    }
    const std::unique_ptr<Link> link = std::move(found->second);
    m_links.erase(found);
    forget(m_outgoing, link->outgoingKey, connectionId);
    forget(m_incoming, link->proxyId, connectionId);
    const bool isNormal = error.code == ErrorCode::ConnectionClosed || error.code == ErrorCode::ConnectionRefused;
    logEvent(isNormal ? LogEvent::PeerDisconnected : LogEvent::FrameRejected,
        {{"peer", link->proxyId}, {"connection", connectionId}, {"error", describe(error)}});
    m_onEvent(PeerConnectionClosed {connectionId, link->proxyId, error.code == ErrorCode::ConnectionRefused, link->carriesRequests()});
}

void PeerLinks::closeIdle()
{
    std::vector<std::uint64_t> idle;
    for (const auto &[id, link] : m_links) {
        const Duration unused = m_clock.now() - link->lastUsed;
        const bool mayBeAnswered = m_clock.now() < link->answersUntil;
        if ((link->isOutgoing && !mayBeAnswered && unused > IdleTime) || (!link->isEstablished && unused > HelloTime)) {
            idle.push_back(id);
        }
    }
    for (const std::uint64_t id : idle) {
        handleClosed(id, {ErrorCode::ConnectionClosed, "idle"});
    }
}

} // namespace Fuchsiastep

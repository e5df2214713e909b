#pragma once

#include <LibCore/LibCore.h>
#include <LibWire/LibWire.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Fuchsiastep {

/// The peer's Hello arrived.
struct PeerLinkEstablished
{
    std::uint64_t connectionId = 0;
    std::string proxyId;
    std::uint64_t incarnation = 0;
    /// sendTo() uses this connection.
    bool carriesRequests = false;
};

/// A frame from a peer. Answers to it go back by \a connectionId.
struct PeerFrameReceived
{
    std::uint64_t connectionId = 0;
    std::string proxyId;
    std::uint64_t incarnation = 0;
    Frame frame;
};

/// A connection is gone.
struct PeerConnectionClosed
{
    std::uint64_t connectionId = 0;
    std::string proxyId;
    /// TCP never connected, so that certainly nothing sent on it arrived.
    bool neverConnected = false;
    /// sendTo() used this connection.
    bool carriesRequests = false;
};

using PeerLinksEvent = std::variant<PeerLinkEstablished, PeerFrameReceived, PeerConnectionClosed>;

/// Owns the listener and every connection to other proxies. Opens one outgoing connection to a peer on demand,
/// closes it after two minutes without use, and tells its owner of frames and losses.
class PeerLinks
{
public:
    using EventHandler = std::function<void(PeerLinksEvent event)>;

    /// \a maximumQueuedBytes: a connection is closed once more bytes wait for its peer to read.
    PeerLinks(HelloFrame self, std::uint64_t maximumQueuedBytes, const Clock &clock, MetricsRegistry &metrics, EventHandler onEvent);
    ~PeerLinks();

    /// Fails with ListenFailed.
    Result<Done> tryListen(const SocketAddress &address);
    SocketAddress address() const;

    /// Sends on the outgoing connection to \a proxyId, which is opened where needed. Returns its connection id.
    std::uint64_t sendTo(const std::string &proxyId, const SocketAddress &address, const Frame &frame);
    /// Sends on the outgoing connection to \a proxyId; drops the frame where there is none.
    void sendToOpen(const std::string &proxyId, const Frame &frame);
    /// Sends on any connection to or from \a proxyId, or opens one where \a address is known. For frames that
    /// need no answer on the same connection. Returns false where there is no way to the peer.
    bool sendAnyWay(const std::string &proxyId, const std::optional<SocketAddress> &address, const Frame &frame);
    /// Sends to a proxy of which only the address is known.
    void sendToAddress(const SocketAddress &address, const Frame &frame);
    /// Sends on a connection that is open; drops the frame otherwise.
    void sendOn(std::uint64_t connectionId, const Frame &frame);
    bool hasQueuedBytes() const;
    /// True where a connection to or from \a proxyId is established.
    bool isConnected(const std::string &proxyId) const;
    /// Connections in both directions.
    std::size_t connectionCount() const
    {
        return m_links.size();
    }

    /// Closes outgoing connections that were not used for two minutes and owe no answer, and those without a Hello after 10 s.
    /// Called now and then by the owner.
    void closeIdle();

private:
    struct Link;

    void accept(GSocket *socket);
    Link &addLink(bool isOutgoing);
    void handleFrame(std::uint64_t connectionId, Frame frame);
    void handleClosed(std::uint64_t connectionId, const Error &error);
    void send(Link &link, const Frame &frame);

    HelloFrame m_self;
    std::uint64_t m_maximumQueuedBytes;
    const Clock &m_clock;
    MetricsRegistry &m_metrics;
    EventHandler m_onEvent;
    std::unique_ptr<TcpListener> m_listener;
    std::uint64_t m_nextConnectionId = 1;
    std::map<std::uint64_t, std::unique_ptr<Link>> m_links;
    /// Outgoing connections by proxy id, or by address where only that was known when they were opened.
    std::map<std::string, std::uint64_t> m_outgoing;
    /// The latest established connection from each proxy.
    std::map<std::string, std::uint64_t> m_incoming;
};

} // namespace Fuchsiastep

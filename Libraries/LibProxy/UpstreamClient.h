#pragma once

#include <LibCore/LibCore.h>
#include <LibProxy/EdgeProtocol.h>
#include <LibProxy/Timer.h>
#include <LibWire/LibWire.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// The whole answer of the upstream.
struct UpstreamAnswered
{
    std::uint64_t localId = 0;
    std::uint16_t status = 0;
    HeaderList headers;
    std::string body;
    /// The upstream says that it refused the request before running it.
    bool wasRefused = false;
    /// Time that the upstream took.
    Duration elapsed {0};
};

/// There is no whole answer.
struct UpstreamRequestFailed
{
    std::uint64_t localId = 0;
    /// A byte of the request may have reached the upstream.
    bool mayHaveRun = true;
    /// The upstream broke the connection or refused a new one, as it does when it crashes.
    bool isConnectionBroken = false;
    Error error;
};

/// Memory that the answers of an upstream may take, in bytes.
struct UpstreamAnswerLimits
{
    /// Body of one answer.
    std::uint64_t answerBytes = 16ULL * 1024 * 1024;
    /// Answers that are being read, together. Beyond it the largest one ends as failed.
    std::uint64_t readBytes = 64ULL * 1024 * 1024;
};

using UpstreamClientEvent = std::variant<UpstreamAnswered, UpstreamRequestFailed>;

/// Sends requests to the upstream beside this proxy over HTTP/1.1, one at a time on each connection. Connections are kept
/// for further requests as long as the upstream surely keeps them too. A refusal that the upstream writes once more is not
/// taken for that of a later request, since "not run" would be false.
class UpstreamClient
{
public:
    using EventHandler = std::function<void(UpstreamClientEvent event)>;

    /// \a protocol outlives the client.
    UpstreamClient(const Clock &clock, const EdgeProtocol &protocol, const UpstreamAnswerLimits &limits, EventHandler onEvent);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /// Where the upstream listens, and how many connections it takes. Idle connections to another address are closed.
    void setUpstream(const SocketAddress &address, std::uint32_t connections);
    /// Closes idle connections, because the upstream started anew.
    void closeIdleConnections();

    void start(std::uint64_t localId, const RequestFrame &request, Duration timeLeft);
    /// Breaks off a request; its end is still told, as UpstreamRequestFailed.
    void abort(std::uint64_t localId);

    /// Answers are not read while it is off, so that the upstream blocks. Their deadlines run on.
    void setReading(bool isWanted);
    /// Bytes kept of answers that are being read.
    std::uint64_t bytesHeld() const;

    /// Opens a connection and tells whether the upstream still listens. An upstream that refuses connections is gone.
    void checkListening(std::function<void(bool isListening)> onResult);

private:
    struct Exchange;
    struct Connection;

    Connection *idleConnection(const RequestFrame &request);
    Connection &openConnection();
    void send(Connection &connection, std::unique_ptr<Exchange> exchange, std::string bytes);
    void receive(std::uint64_t connectionId, std::string_view bytes);
    void end(std::uint64_t connectionId, const StreamEnd &how);
    void complete(Connection &connection, HttpMessage message, UpstreamAnswerKind kind);
    void fail(std::uint64_t connectionId, bool mayHaveRun, bool isConnectionBroken, Error error);
    void endLargestBeyondLimit();
    void expireRuns();

    const Clock &m_clock;
    const EdgeProtocol &m_protocol;
    UpstreamAnswerLimits m_limits;
    EventHandler m_onEvent;
    SocketAddress m_address;
    std::uint32_t m_maximumConnections = 0;
    std::uint64_t m_nextConnectionId = 1;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::map<std::uint64_t, std::unique_ptr<TcpStream>> m_checks;
    std::uint64_t m_nextCheckId = 1;
    bool m_isReadingWanted = true;
    Timer m_expiryTimer;
};

} // namespace Fuchsiastep

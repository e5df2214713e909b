#pragma once

#include <LibCore/LibCore.h>
#include <LibWire/RequestFrame.h>

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

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

using UpstreamClientEvent = std::variant<UpstreamAnswered, UpstreamRequestFailed>;

/// Sends requests to the upstream beside this proxy over HTTP and reads its health and load.
class UpstreamClient
{
public:
    using EventHandler = std::function<void(UpstreamClientEvent event)>;

    UpstreamClient(const Clock &clock, std::uint64_t maximumAnswerBytes, EventHandler onEvent);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /// Where the upstream listens, and how many connections it takes.
    void setUpstream(const SocketAddress &address, std::uint32_t connections);

    void start(std::uint64_t localId, const RequestFrame &request, Duration timeLeft);
    /// Breaks off a request; its end is still told, as UpstreamRequestFailed.
    void abort(std::uint64_t localId);

    /// Opens a connection and tells whether the upstream still listens. An upstream that refuses connections is gone.
    void checkListening(std::function<void(bool isListening)> onResult);

private:
    struct Exchange;

    void finish(std::uint64_t localId, GBytes *body, GError *error);

    const Clock &m_clock;
    std::uint64_t m_maximumAnswerBytes;
    EventHandler m_onEvent;
    SoupSession *m_session = nullptr;
    SocketAddress m_address;
    std::uint32_t m_connections = 0;
    std::map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
};

} // namespace Fuchsiastep

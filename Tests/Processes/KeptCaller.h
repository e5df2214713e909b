#pragma once

#include <LibHttp/LibHttp.h>
#include <LibWire/LibWire.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Fuchsiastep {

/// A caller that sends one request after the other on a kept connection, opens another where the proxy ends it, and stops
/// where no connection can be opened.
class KeptCaller
{
public:
    struct Ended
    {
        std::string key;
        /// 0 where the connection ended before the answer was whole.
        std::uint16_t status = 0;
        std::string body;
    };
    /// The bytes of the next request, and its key.
    using NextRequest = std::function<std::pair<std::string, std::string>()>;

    KeptCaller(SocketAddress proxy, NextRequest nextRequest) : m_proxy(std::move(proxy)), m_nextRequest(std::move(nextRequest))
    {
        open();
    }

    bool isStopped() const
    {
        return m_isStopped;
    }
    const std::vector<Ended> &ended() const
    {
        return m_ended;
    }

private:
    void open()
    {
        m_parser = std::make_unique<HttpParser>(HttpParser::Kind::Response, HttpLimits {});
        m_stream = TcpStream::connect(
            m_proxy, [this](std::string_view bytes) { receive(bytes); }, [this](const StreamEnd &end) { handleEnd(end); });
        sendNext();
    }

    void sendNext()
    {
        auto [bytes, key] = m_nextRequest();
        m_openKey = key;
        m_stream->send(std::move(bytes));
    }

    void receive(std::string_view bytes)
    {
        m_parser->append(bytes);
        const Result<std::optional<HttpMessage>> next = m_parser->tryNext();
        if (isError(next)) {
            m_ended.push_back({std::exchange(m_openKey, {}), 0, describe(errorOf(next))});
            m_isStopped = true;
            m_stream->close();
            return;
        }
        const std::optional<HttpMessage> &answer = valueOf(next);
        if (!answer) {
            return;
        }
        m_ended.push_back({std::exchange(m_openKey, {}), answer->status, answer->body});
        if (!answer->isLast) {
            sendNext();
        }
        // The end of the connection follows, and then another one is opened.
    }

    void handleEnd(const StreamEnd &end)
    {
        if (!end.neverConnected && !m_openKey.empty()) {
            m_ended.push_back({std::exchange(m_openKey, {}), 0, end.detail});
        }
        m_isStopped = end.neverConnected;
        if (!m_isStopped) {
            open();
        }
    }

    SocketAddress m_proxy;
    NextRequest m_nextRequest;
    std::unique_ptr<HttpParser> m_parser;
    std::unique_ptr<TcpStream> m_stream;
    std::string m_openKey;
    std::vector<Ended> m_ended;
    bool m_isStopped = false;
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/LibCore.h>
#include <LibWire/HeaderList.h>

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

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
    /// ErrorCode::BodyTooLarge where the body was larger than the limit and was not kept.
    ErrorCode rejection = ErrorCode::None;
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

/// An HTTP server by libsoup. It owns its listening socket and the requests that wait for an answer.
class HttpServer
{
public:
    using EventHandler = std::function<void(HttpServerEvent event)>;

    HttpServer(std::uint64_t maximumBodyBytes, EventHandler onEvent);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Fails with ListenFailed.
    Result<Done> tryListen(const SocketAddress &address);
    SocketAddress address() const;

    /// Answers a request; has no effect where the client is gone.
    void answer(const HttpAnswer &answer);
    /// Requests that have no answer yet, or whose answer is still being written.
    std::size_t requestsOpen() const;

private:
    struct Exchange;

    static void handleHeaders(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data);
    static void handleRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data);
    void receive(SoupServerMessage *message, const char *path);
    void abandon(std::uint64_t token);
    void finish(std::uint64_t token);

    std::uint64_t m_maximumBodyBytes;
    EventHandler m_onEvent;
    SoupServer *m_server;
    SocketAddress m_address;
    std::uint64_t m_nextToken = 1;
    std::map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
};

} // namespace Fuchsiastep

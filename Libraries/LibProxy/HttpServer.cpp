#include <LibProxy/HttpServer.h>

#include <LibProxy/SoupSupport.h>

namespace Fuchsiastep {

/// Bytes beyond the limit that are read and dropped, so that most clients see the answer that refuses their body.
static constexpr std::uint64_t MaximumIgnoredBytes = 16 * 1024 * 1024;
/// Counts the body bytes of a message that have arrived.
static constexpr const char *ReceivedMark = "fuchsiastep-received";
/// Marks a message whose body was larger than the limit.
static constexpr const char *TooLargeMark = "fuchsiastep-too-large";

/// The peer closed a readable socket, where it sent no more data.
static bool isClosed(GSocket *socket)
{
    char byte = 0;
    GInputVector vector {&byte, 1};
    gint flags = G_SOCKET_MSG_PEEK;
    GError *error = nullptr;
    const gssize count = g_socket_receive_message(socket, nullptr, &vector, 1, nullptr, nullptr, &flags, nullptr, &error);
    const bool isBroken = error != nullptr && !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&error);
    return count == 0 || isBroken;
}

/// Closes a connection that waits for its next request when the client closes it. libsoup 3.2 reads the end of such a
/// connection and then keeps its descriptor open.
static void closeWithClient(GSocket *socket)
{
    GSource *source = g_socket_create_source(socket, G_IO_IN, nullptr);
    const GSocketSourceFunc onReadable = [](GSocket *readable, GIOCondition, gpointer) -> gboolean {
        if (isClosed(readable)) {
            g_socket_close(readable, nullptr);
        }
        return G_SOURCE_REMOVE;
    };
    g_source_set_callback(source, G_SOURCE_FUNC(onReadable), nullptr, nullptr);
    g_source_attach(source, nullptr);
    g_source_unref(source);
}

struct HttpServer::Exchange
{
    HttpServer *server = nullptr;
    std::uint64_t token = 0;
    SoupServerMessage *message = nullptr;
    /// Tells when the client closes. libsoup does not look at the connection of a paused message.
    GSource *watch = nullptr;
    bool isAnswered = false;

    ~Exchange()
    {
        stopWatching();
        g_signal_handlers_disconnect_by_data(message, this);
        g_object_unref(message);
    }

    void startWatching()
    {
        GSocket *socket = soup_server_message_get_socket(message);
        if (socket == nullptr) {
            return;
        }
        watch = g_socket_create_source(socket, G_IO_IN, nullptr);
        const GSocketSourceFunc onReadable = [](GSocket *readable, GIOCondition, gpointer data) -> gboolean {
            auto *self = static_cast<Exchange *>(data);
            if (isClosed(readable)) {
                self->server->abandon(self->token);
            } else {
                // The client sent its next request already; it stays in the socket until this one is answered.
                self->stopWatching();
            }
            return G_SOURCE_REMOVE;
        };
        g_source_set_callback(watch, G_SOURCE_FUNC(onReadable), this, nullptr);
        g_source_attach(watch, nullptr);
    }

    void stopWatching()
    {
        if (watch != nullptr) {
            g_source_destroy(watch);
            g_source_unref(watch);
            watch = nullptr;
        }
    }
};

HttpServer::HttpServer(std::uint64_t maximumBodyBytes, EventHandler onEvent)
    : m_maximumBodyBytes(maximumBodyBytes)
    , m_onEvent(std::move(onEvent))
    // Paths stay escaped: a decoded '/' or '?' would name another resource of the upstream.
    , m_server(soup_server_new("server-header", "fuchsiastep", "raw-paths", TRUE, nullptr))
{
    soup_server_add_early_handler(m_server, nullptr, &HttpServer::handleHeaders, this, nullptr);
    soup_server_add_handler(m_server, nullptr, &HttpServer::handleRequest, this, nullptr);
}

HttpServer::~HttpServer()
{
    m_exchanges.clear();
    soup_server_disconnect(m_server);
    g_object_unref(m_server);
}

Result<Done> HttpServer::tryListen(const SocketAddress &address)
{
    const Result<SocketAddress> listening = tryListenHttp(m_server, address);
    if (isError(listening)) {
        return errorOf(listening);
    }
    m_address = valueOf(listening);
    return Done {};
}

SocketAddress HttpServer::address() const
{
    return m_address;
}

std::size_t HttpServer::requestsOpen() const
{
    return m_exchanges.size();
}

void HttpServer::handleHeaders(SoupServer *, SoupServerMessage *message, const char *, GHashTable *, gpointer data)
{
    // The body is counted while it arrives, so that neither a false length nor a chunked body fills the memory.
    const auto onChunk = +[](SoupServerMessage *chunked, GBytes *chunk, gpointer owner) {
        SoupMessageBody *body = soup_server_message_get_request_body(chunked);
        const std::uint64_t limit = static_cast<HttpServer *>(owner)->m_maximumBodyBytes;
        const std::size_t received = GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(chunked), ReceivedMark)) + g_bytes_get_size(chunk);
        g_object_set_data(G_OBJECT(chunked), ReceivedMark, GSIZE_TO_POINTER(received));
        if (received > limit) {
            soup_message_body_set_accumulate(body, FALSE);
            g_object_set_data(G_OBJECT(chunked), TooLargeMark, chunked);
        }
        // A client that sends on and on would never see the answer that refuses its body.
        if (received > limit + MaximumIgnoredBytes) {
            GSocket *socket = soup_server_message_get_socket(chunked);
            if (socket != nullptr) {
                g_socket_shutdown(socket, TRUE, TRUE, nullptr);
            }
        }
    };
    g_signal_connect(message, "got-chunk", G_CALLBACK(onChunk), data);
}

void HttpServer::handleRequest(SoupServer *, SoupServerMessage *message, const char *path, GHashTable *, gpointer data)
{
    static_cast<HttpServer *>(data)->receive(message, path);
}

void HttpServer::receive(SoupServerMessage *message, const char *path)
{
    HttpRequest request;
    request.token = m_nextToken++;
    request.method = soup_server_message_get_method(message);
    request.path = path;
    const char *query = g_uri_get_query(soup_server_message_get_uri(message));
    request.query = query != nullptr ? query : "";
    request.headers = readHeaders(soup_server_message_get_request_headers(message));
    if (g_object_get_data(G_OBJECT(message), TooLargeMark) != nullptr) {
        request.rejection = ErrorCode::BodyTooLarge;
    } else {
        request.body = requestBody(message);
    }

    auto exchange = std::make_unique<Exchange>();
    exchange->server = this;
    exchange->token = request.token;
    exchange->message = SOUP_SERVER_MESSAGE(g_object_ref(message));
    const auto onEnd = +[](SoupServerMessage *, gpointer ended) {
        const auto *self = static_cast<Exchange *>(ended);
        self->server->finish(self->token);
    };
    g_signal_connect(message, "finished", G_CALLBACK(onEnd), exchange.get());
    g_signal_connect(message, "disconnected", G_CALLBACK(onEnd), exchange.get());
    m_exchanges[request.token] = std::move(exchange);
    soup_server_message_pause(message);
    m_exchanges[request.token]->startWatching();
    m_onEvent(std::move(request));
}

void HttpServer::answer(const HttpAnswer &answer)
{
    const auto found = m_exchanges.find(answer.token);
    if (found == m_exchanges.end() || found->second->isAnswered) {
        return;
    }
    found->second->isAnswered = true;
    found->second->stopWatching();
    SoupServerMessage *message = found->second->message;
    SoupMessageHeaders *headers = soup_server_message_get_response_headers(message);
    writeHeaders(headers, answer.headers);
    soup_server_message_set_status(message, answer.status, nullptr);
    soup_message_body_append(soup_server_message_get_response_body(message), SOUP_MEMORY_COPY, answer.body.data(), answer.body.size());
    soup_message_headers_set_content_length(headers, static_cast<goffset>(answer.body.size()));
    soup_server_message_unpause(message);
}

void HttpServer::abandon(std::uint64_t token)
{
    const auto found = m_exchanges.find(token);
    if (found == m_exchanges.end()) {
        return;
    }
    // libsoup frees the connection when the write of an answer fails.
    SoupServerMessage *message = SOUP_SERVER_MESSAGE(g_object_ref(found->second->message));
    finish(token);
    soup_server_message_set_status(message, errorCodeInfo(ErrorCode::Cancelled).httpStatus, nullptr);
    soup_server_message_unpause(message);
    g_object_unref(message);
}

void HttpServer::finish(std::uint64_t token)
{
    const auto found = m_exchanges.find(token);
    if (found == m_exchanges.end()) {
        return;
    }
    const std::unique_ptr<Exchange> exchange = std::move(found->second);
    m_exchanges.erase(found);
    GSocket *socket = soup_server_message_get_socket(exchange->message);
    if (socket != nullptr && !g_socket_is_closed(socket)) {
        closeWithClient(socket);
    }
    if (!exchange->isAnswered) {
        m_onEvent(HttpRequestAbandoned {token});
    }
}

} // namespace Fuchsiastep

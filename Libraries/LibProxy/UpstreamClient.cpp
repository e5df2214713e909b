#include <LibProxy/UpstreamClient.h>

#include <LibProxy/HttpHeaders.h>
#include <LibProxy/SoupSupport.h>

namespace Fuchsiastep {

/// Without input or output for this long a call fails, so that an upstream that hangs gives its slot back. Twice the
/// longest timeout of a selector, since a run that holds a key outlives its caller.
static constexpr guint CallTimeLimitSeconds = 120;

struct UpstreamClient::Exchange
{
    UpstreamClient *client = nullptr;
    std::uint64_t localId = 0;
    SoupMessage *message = nullptr;
    GCancellable *cancellable = nullptr;
    TimePoint startedAt;
    /// libsoup began to write the request, so that bytes may have reached the upstream.
    bool isSent = false;
    /// The connection broke and libsoup began to send the request again.
    bool isRestarted = false;

    ~Exchange()
    {
        if (message != nullptr) {
            g_signal_handlers_disconnect_by_data(message, this);
        }
        g_clear_object(&message);
        g_clear_object(&cancellable);
    }
};

UpstreamClient::UpstreamClient(const Clock &clock, std::uint64_t maximumAnswerBytes, EventHandler onEvent)
    : m_clock(clock), m_maximumAnswerBytes(maximumAnswerBytes), m_onEvent(std::move(onEvent))
{ }

UpstreamClient::~UpstreamClient()
{
    for (auto &[localId, exchange] : m_exchanges) {
        exchange->client = nullptr;
        g_cancellable_cancel(exchange->cancellable);
        // The pending callback frees the exchange.
        [[maybe_unused]] Exchange *released = exchange.release();
    }
    g_clear_object(&m_session);
}

void UpstreamClient::setUpstream(const SocketAddress &address, std::uint32_t connections)
{
    if (m_session != nullptr && m_address == address && m_connections == connections) {
        return;
    }
    m_address = address;
    m_connections = connections;
    g_clear_object(&m_session);
    const int limit = static_cast<int>(std::max<std::uint32_t>(connections, 1));
    m_session = soup_session_new_with_options(
        "max-conns", limit, "max-conns-per-host", limit, "timeout", CallTimeLimitSeconds, "proxy-resolver", nullptr, nullptr);
}

void UpstreamClient::start(std::uint64_t localId, const RequestFrame &request, Duration timeLeft)
{
    const std::string url = "http://" + m_address.toString() + request.path;
    SoupMessage *message = m_session != nullptr ? soup_message_new(request.method.c_str(), url.c_str()) : nullptr;
    if (message == nullptr) {
        m_onEvent(UpstreamRequestFailed {localId, false, false, {ErrorCode::RequestMalformed, "method or path"}});
        return;
    }
    // A request that may not be repeated gets a connection of its own: on a kept one it could meet an upstream that
    // is closing the connection, and its outcome would be unknown for no reason.
    const SoupMessageFlags connectionFlag = request.isRepeatable ? SOUP_MESSAGE_IDEMPOTENT : SOUP_MESSAGE_NEW_CONNECTION;
    soup_message_add_flags(message, static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT | connectionFlag));
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    writeHeaders(headers, request.headers);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count();
    soup_message_headers_replace(headers, DeadlineHeader, std::to_string(milliseconds).c_str());
    if (!request.body.empty()) {
        GBytes *body = g_bytes_new(request.body.data(), request.body.size());
        const char *contentType = soup_message_headers_get_one(headers, "content-type");
        soup_message_set_request_body_from_bytes(message, contentType != nullptr ? contentType : "application/octet-stream", body);
        g_bytes_unref(body);
    }

    auto exchange = std::make_unique<Exchange>();
    Exchange *raw = exchange.get();
    raw->client = this;
    raw->localId = localId;
    raw->message = message;
    raw->cancellable = g_cancellable_new();
    raw->startedAt = m_clock.now();
    const auto onStarting = +[](SoupMessage *, gpointer data) {
        static_cast<Exchange *>(data)->isSent = true;
    };
    g_signal_connect(message, "starting", G_CALLBACK(onStarting), raw);
    // libsoup sends a request again by itself when a kept connection breaks. Only the caller side decides on that.
    const auto onRestarted = +[](SoupMessage *, gpointer data) {
        auto *restarted = static_cast<Exchange *>(data);
        restarted->isRestarted = true;
        g_cancellable_cancel(restarted->cancellable);
    };
    g_signal_connect(message, "restarted", G_CALLBACK(onRestarted), raw);
    m_exchanges[localId] = std::move(exchange);
    const GAsyncReadyCallback onAnswer = [](GObject *session, GAsyncResult *result, gpointer data) {
        auto *ended = static_cast<Exchange *>(data);
        GError *error = nullptr;
        GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
        if (ended->client == nullptr) {
            delete ended;
        } else {
            ended->client->finish(ended->localId, body, error);
        }
        g_clear_error(&error);
        if (body != nullptr) {
            g_bytes_unref(body);
        }
    };
    soup_session_send_and_read_async(m_session, message, G_PRIORITY_DEFAULT, raw->cancellable, onAnswer, raw);
}

void UpstreamClient::abort(std::uint64_t localId)
{
    const auto found = m_exchanges.find(localId);
    if (found != m_exchanges.end()) {
        g_cancellable_cancel(found->second->cancellable);
    }
}

void UpstreamClient::checkListening(std::function<void(bool isListening)> onResult)
{
    GSocketClient *client = g_socket_client_new();
    constexpr guint TimeoutSeconds = 1;
    g_socket_client_set_timeout(client, TimeoutSeconds);
    auto *callback = new std::function<void(bool)>(std::move(onResult));
    const GAsyncReadyCallback onConnected = [](GObject *source, GAsyncResult *result, gpointer data) {
        const std::unique_ptr<std::function<void(bool)>> handler(static_cast<std::function<void(bool)> *>(data));
        GError *error = nullptr;
        GSocketConnection *connection = g_socket_client_connect_to_host_finish(G_SOCKET_CLIENT(source), result, &error);
        const bool isRefused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        g_clear_error(&error);
        g_clear_object(&connection);
        (*handler)(!isRefused);
    };
    g_socket_client_connect_to_host_async(client, m_address.ip.c_str(), m_address.port, nullptr, onConnected, callback);
    g_object_unref(client);
}

static bool isBrokenConnection(const GError *error)
{
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)
        || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED) || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT)
        || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_BROKEN_PIPE);
}

void UpstreamClient::finish(std::uint64_t localId, GBytes *body, GError *error)
{
    const auto found = m_exchanges.find(localId);
    if (found == m_exchanges.end()) {
        return;
    }
    const std::unique_ptr<Exchange> exchange = std::move(found->second);
    m_exchanges.erase(found);
    if (error != nullptr) {
        m_onEvent(UpstreamRequestFailed {
            localId, exchange->isSent, exchange->isRestarted || isBrokenConnection(error), {ErrorCode::ConnectionClosed, error->message}});
        return;
    }
    SoupMessageHeaders *headers = soup_message_get_response_headers(exchange->message);
    const std::size_t size = g_bytes_get_size(body);
    if (size > m_maximumAnswerBytes) {
        m_onEvent(UpstreamRequestFailed {localId, true, false, {ErrorCode::BodyTooLarge, "answer of " + std::to_string(size) + " bytes"}});
        return;
    }
    // libsoup ends a body early without an error when the upstream closes, so the length is compared.
    const bool hasLength = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
    const bool isHead = std::string_view(soup_message_get_method(exchange->message)) == "HEAD";
    if (hasLength && !isHead && static_cast<std::uint64_t>(soup_message_headers_get_content_length(headers)) != size) {
        m_onEvent(UpstreamRequestFailed {localId, true, true, {ErrorCode::AnswerTruncated, "the body is shorter than its content-length"}});
        return;
    }
    UpstreamAnswered answered;
    answered.localId = localId;
    answered.status = static_cast<std::uint16_t>(soup_message_get_status(exchange->message));
    answered.headers = readHeaders(headers);
    answered.wasRefused = answered.status == SOUP_STATUS_SERVICE_UNAVAILABLE && answered.headers.contains(RefusedHeader);
    answered.body.assign(static_cast<const char *>(g_bytes_get_data(body, nullptr)), size);
    answered.elapsed = m_clock.now() - exchange->startedAt;
    m_onEvent(std::move(answered));
}

} // namespace Fuchsiastep

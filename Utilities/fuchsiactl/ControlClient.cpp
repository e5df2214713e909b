#include <fuchsiactl/ControlClient.h>

#include <algorithm>

namespace Fuchsiastep::ControlTool {

static constexpr int ConnectionsPerProxy = 4;

struct ControlClient::Batch
{
    const std::vector<ControlRequest> &requests;
    Duration timeout;
    std::vector<Result<ControlAnswer>> results;
    std::size_t started = 0;
    std::size_t ended = 0;
};

struct ControlClient::Exchange
{
    ControlClient *client = nullptr;
    Batch *batch = nullptr;
    std::size_t index = 0;
    SoupMessage *message = nullptr;
    GCancellable *cancellable = nullptr;
    GSource *timer = nullptr;
    /// libsoup began to write the request.
    bool isSent = false;
    bool isTimedOut = false;

    ~Exchange()
    {
        g_source_destroy(timer);
        g_source_unref(timer);
        g_signal_handlers_disconnect_by_data(message, this);
        g_object_unref(message);
        g_object_unref(cancellable);
    }

    Result<ControlAnswer> result(GBytes *body, const GError *error) const;
};

Result<ControlAnswer> ControlClient::Exchange::result(GBytes *body, const GError *error) const
{
    const std::string proxy = batch->requests[index].proxy.toString();
    if (error != nullptr) {
        const std::string reason = isTimedOut ? "no answer in time" : error->message;
        const ErrorCode sentCode = isTimedOut ? ErrorCode::WaitTimeout : ErrorCode::ConnectionClosed;
        return Error {isSent ? sentCode : ErrorCode::ProxyUnreachable, proxy + ": " + reason};
    }
    SoupMessageHeaders *headers = soup_message_get_response_headers(message);
    const gsize size = g_bytes_get_size(body);
    // libsoup ends a body early without an error when the proxy closes, so the length is compared.
    const bool hasLength = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
    if (hasLength && static_cast<gsize>(soup_message_headers_get_content_length(headers)) != size) {
        return Error {ErrorCode::ConnectionClosed, proxy + ": the answer was cut off"};
    }
    const auto *data = static_cast<const char *>(g_bytes_get_data(body, nullptr));
    return ControlAnswer {static_cast<std::uint16_t>(soup_message_get_status(message)), size > 0 ? std::string(data, size) : ""};
}

ControlClient::ControlClient(std::size_t concurrency)
    : m_concurrency(std::max<std::size_t>(concurrency, 1))
    , m_session(soup_session_new_with_options("max-conns",
          static_cast<int>(m_concurrency),
          "max-conns-per-host",
          ConnectionsPerProxy,
          "timeout",
          0U,
          "proxy-resolver",
          nullptr,
          nullptr))
{ }

ControlClient::~ControlClient()
{
    soup_session_abort(m_session);
    g_object_unref(m_session);
}

Result<ControlAnswer> ControlClient::trySend(const ControlRequest &request, Duration timeout)
{
    return sendAll({request}, timeout).front();
}

std::vector<Result<ControlAnswer>> ControlClient::sendAll(const std::vector<ControlRequest> &requests, Duration timeout)
{
    Batch batch {requests, timeout, {}};
    batch.results.resize(requests.size(), Error {ErrorCode::ProxyUnreachable, "not sent"});
    while (batch.ended < requests.size()) {
        while (batch.started < requests.size() && batch.started - batch.ended < m_concurrency) {
            start(batch);
        }
        if (batch.ended < requests.size()) {
            g_main_context_iteration(nullptr, TRUE);
        }
    }
    return std::move(batch.results);
}

void ControlClient::start(Batch &batch)
{
    const std::size_t index = batch.started++;
    const ControlRequest &request = batch.requests[index];
    const std::string url = "http://" + request.proxy.toString() + request.path;
    SoupMessage *message = soup_message_new(request.method.c_str(), url.c_str());
    if (message == nullptr) {
        batch.results[index] = Error {ErrorCode::ProxyUnreachable, url + ": not a URL"};
        ++batch.ended;
        return;
    }
    soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
    if (!request.body.empty()) {
        GBytes *body = g_bytes_new(request.body.data(), request.body.size());
        soup_message_set_request_body_from_bytes(message, "application/json", body);
        g_bytes_unref(body);
    }
    auto *exchange = new Exchange {this, &batch, index, message, g_cancellable_new()};
    const auto onStarting = +[](SoupMessage *, gpointer data) {
        static_cast<Exchange *>(data)->isSent = true;
    };
    g_signal_connect(message, "starting", G_CALLBACK(onStarting), exchange);
    const auto timeoutMs = std::chrono::ceil<std::chrono::milliseconds>(std::max(batch.timeout, Duration(0))).count();
    exchange->timer = g_timeout_source_new(static_cast<guint>(timeoutMs));
    const GSourceFunc onTimeout = [](gpointer data) -> gboolean {
        auto *late = static_cast<Exchange *>(data);
        late->isTimedOut = true;
        g_cancellable_cancel(late->cancellable);
        return G_SOURCE_REMOVE;
    };
    g_source_set_callback(exchange->timer, onTimeout, exchange, nullptr);
    g_source_attach(exchange->timer, nullptr);
    const GAsyncReadyCallback onAnswer = [](GObject *session, GAsyncResult *result, gpointer data) {
        const std::unique_ptr<Exchange> ended(static_cast<Exchange *>(data));
        GError *error = nullptr;
        GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
        ended->batch->results[ended->index] = ended->result(body, error);
        ++ended->batch->ended;
        g_clear_error(&error);
        if (body != nullptr) {
            g_bytes_unref(body);
        }
    };
    soup_session_send_and_read_async(m_session, message, G_PRIORITY_DEFAULT, exchange->cancellable, onAnswer, exchange);
}

} // namespace Fuchsiastep::ControlTool

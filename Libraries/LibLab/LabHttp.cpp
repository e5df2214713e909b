#include <LibLab/LabHttp.h>

#include <LibLab/LabLoop.h>

namespace Fuchsiastep {

static constexpr std::size_t MaximumConcurrency = 64;

struct LabHttp::Exchange
{
    /// nullptr after the client is gone.
    LabHttp *client;
    Callback callback;
    SoupMessage *message;
    GCancellable *cancellable = g_cancellable_new();
    guint timer = 0;

    Exchange(LabHttp *owner, Callback function, SoupMessage *request) : client(owner), callback(std::move(function)), message(request)
    { }
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;
    ~Exchange()
    {
        if (timer != 0) {
            g_source_remove(timer);
        }
        g_object_unref(message);
        g_object_unref(cancellable);
    }
};

LabHttp::LabHttp()
    : m_session(soup_session_new_with_options("max-conns",
        static_cast<int>(MaximumConcurrency),
        "max-conns-per-host",
        static_cast<int>(MaximumConcurrency),
        "proxy-resolver",
        nullptr,
        nullptr))
{ }

LabHttp::~LabHttp()
{
    for (Exchange *exchange : m_active) {
        exchange->client = nullptr;
        g_cancellable_cancel(exchange->cancellable);
    }
    g_object_unref(m_session);
}

void LabHttp::send(HttpCall call, Callback callback)
{
    if (m_active.size() < MaximumConcurrency) {
        start(std::move(call), std::move(callback));
    } else {
        m_waiting.emplace_back(std::move(call), std::move(callback));
    }
}

void LabHttp::start(HttpCall call, Callback callback)
{
    SoupMessage *message = soup_message_new(call.method.c_str(), call.url.c_str());
    if (message == nullptr) {
        g_error("not a URL: %s", call.url.c_str()); // A fault of the lab itself, so it ends the program.
    }
    soup_message_add_flags(message, SoupMessageFlags(SOUP_MESSAGE_NEW_CONNECTION | SOUP_MESSAGE_NO_REDIRECT));
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    soup_message_headers_replace(headers, "connection", "close");
    for (const auto &[name, value] : call.headers) {
        soup_message_headers_replace(headers, name.c_str(), value.c_str());
    }
    if (!call.body.empty()) {
        g_autoptr(GBytes) body = g_bytes_new(call.body.data(), call.body.size());
        soup_message_set_request_body_from_bytes(message, "application/json", body);
    }
    auto owned = std::make_unique<Exchange>(this, std::move(callback), message);
    Exchange *exchange = owned.release();
    m_active.insert(exchange);
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout).count();
    exchange->timer = g_timeout_add(static_cast<guint>(timeout), onTimeout, exchange);
    soup_session_send_and_read_async(m_session, message, G_PRIORITY_DEFAULT, exchange->cancellable, onAnswered, exchange);
}

gboolean LabHttp::onTimeout(gpointer data)
{
    auto *exchange = static_cast<Exchange *>(data);
    exchange->timer = 0;
    g_cancellable_cancel(exchange->cancellable);
    return G_SOURCE_REMOVE;
}

static HttpReply replyOf(SoupMessage *message, GBytes *body)
{
    HttpReply reply;
    reply.unixMs = Clock::system().unixMilliseconds();
    if (body == nullptr) {
        return reply;
    }
    reply.status = soup_message_get_status(message);
    gsize size = 0;
    const auto *data = static_cast<const char *>(g_bytes_get_data(body, &size));
    reply.body.assign(data != nullptr ? data : "", size);
    const auto addHeader = [](const char *name, const char *value, gpointer headers) {
        g_autofree char *lower = g_ascii_strdown(name, -1);
        (*static_cast<std::map<std::string, std::string> *>(headers))[lower] = value;
    };
    soup_message_headers_foreach(soup_message_get_response_headers(message), addHeader, &reply.headers);
    return reply;
}

void LabHttp::onAnswered(GObject *session, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<Exchange> exchange(static_cast<Exchange *>(data));
    g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(session), result, nullptr);
    if (exchange->client == nullptr) {
        return;
    }
    exchange->client->m_active.erase(exchange.get());
    exchange->client->startWaiting();
    exchange->callback(replyOf(exchange->message, body));
}

void LabHttp::startWaiting()
{
    while (!m_waiting.empty() && m_active.size() < MaximumConcurrency) {
        auto [call, callback] = std::move(m_waiting.front());
        m_waiting.pop_front();
        start(std::move(call), std::move(callback));
    }
}

std::vector<HttpReply> LabHttp::fetchAll(std::vector<HttpCall> calls)
{
    struct Batch
    {
        std::vector<HttpReply> replies;
        std::size_t missing;
    };
    auto batch = std::make_shared<Batch>(Batch {std::vector<HttpReply>(calls.size()), calls.size()});
    Duration limit = std::chrono::seconds(5);
    for (std::size_t index = 0; index < calls.size(); ++index) {
        limit += calls[index].timeout;
        send(std::move(calls[index]), [batch, index](HttpReply reply) {
            batch->replies[index] = std::move(reply);
            --batch->missing;
        });
    }
    runLoopUntil([batch] { return batch->missing == 0; }, limit);
    return batch->replies;
}

HttpReply LabHttp::fetch(HttpCall call)
{
    return fetchAll({std::move(call)}).front();
}

} // namespace Fuchsiastep

#include <LibPlatform/PlatformClient.h>

#include <LibCore/Logger.h>
#include <LibCore/SocketSilence.h>
#include <LibPlatform/PlatformCodec.h>

#include <algorithm>
#include <charconv>

namespace Fuchsiastep {

/// A call that takes longer than this is logged as slow.
static constexpr Duration SlowCall = std::chrono::seconds(1);
/// During an outage every call fails; one line per second says so and counts the others.
static constexpr Duration ReportInterval = std::chrono::seconds(1);
static constexpr guint IdleConnectionSeconds = 60;

struct PlatformClient::Call
{
    /// nullptr once the client is gone.
    PlatformClient *client = nullptr;
    PlatformRequest request;
    Callback callback;
    TimePoint sentAt;
    GCancellable *cancellable = nullptr;
    SoupMessage *message = nullptr;
    guint timer = 0;
    bool isOnNetwork = false;
    /// A connection was open and the first byte may have been sent.
    bool hasStarted = false;
    bool isTimedOut = false;
    /// The connection broke and libsoup was about to send the call again.
    bool isRestarted = false;
    /// Set while the body is read.
    GInputStream *body = nullptr;
    std::string content;

    Call() = default;
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;
    ~Call()
    {
        if (timer != 0) {
            g_source_remove(timer);
        }
        g_clear_object(&body);
        g_clear_object(&message);
        g_clear_object(&cancellable);
    }
};

static const char *mediaTypeOf(const PlatformRequest &request, const PlatformProtocol &protocol)
{
    return std::holds_alternative<PutObject>(request) ? PlatformObjectMediaType : protocol.mediaType.c_str();
}

/// Time that the platform may take by itself before it answers.
static Duration waitOf(const PlatformRequest &request)
{
    const auto *watch = std::get_if<WatchRows>(&request);
    return watch != nullptr ? watch->wait : Duration(0);
}

PlatformClient::PlatformClient(PlatformClientSettings settings) : m_settings(std::move(settings))
{
    openSession();
}

void PlatformClient::openSession()
{
    g_clear_object(&m_session);
    const int connections = static_cast<int>(std::max<std::size_t>(m_settings.maximumConcurrency, 1));
    // No proxy of the environment may stand between this process and the platform.
    m_session = soup_session_new_with_options("max-conns",
        connections,
        "max-conns-per-host",
        connections,
        "idle-timeout",
        IdleConnectionSeconds,
        "proxy-resolver",
        nullptr,
        nullptr);
    soup_session_remove_feature_by_type(m_session, SOUP_TYPE_CONTENT_DECODER);
}

PlatformClient::~PlatformClient()
{
    for (Call *call : m_calls) {
        call->client = nullptr;
        if (!call->isOnNetwork) {
            delete call;
            continue;
        }
        // The session still answers the call, which onAnswered() then only frees.
        g_cancellable_cancel(call->cancellable);
    }
    g_object_unref(m_session);
}

void PlatformClient::send(PlatformRequest request, Callback callback)
{
    auto owned = std::make_unique<Call>();
    Call &call = *owned.release();
    call.client = this;
    call.request = std::move(request);
    call.callback = std::move(callback);
    call.sentAt = m_clock.now();
    m_calls.insert(&call);
    const bool isRefused = m_waiting.size() >= m_settings.maximumWaiting && m_onNetwork >= m_settings.maximumConcurrency;
    const auto timeoutMs = std::chrono::ceil<std::chrono::milliseconds>(m_settings.timeout + waitOf(call.request)).count();
    // A refused call is answered from the main loop like any other.
    call.timer = g_timeout_add(isRefused ? 0 : static_cast<guint>(timeoutMs), onTimeout, &call);
    if (isRefused) {
        return;
    }
    m_waiting.push_back(&call);
    startWaiting();
}

void PlatformClient::startWaiting()
{
    while (!m_waiting.empty() && m_onNetwork < std::max<std::size_t>(m_settings.maximumConcurrency, 1)) {
        Call *call = m_waiting.front();
        m_waiting.pop_front();
        start(*call);
    }
}

void PlatformClient::start(Call &call)
{
    const PlatformHttpRequest http = m_settings.protocol.encode(call.request);
    call.message = soup_message_new(http.method.c_str(), (m_settings.baseUrl + http.path).c_str());
    if (call.message == nullptr) {
        g_source_remove(call.timer);
        call.timer = g_timeout_add(0, onTimeout, &call);
        return;
    }
    // Without the idempotent flag, libsoup opens a new connection for each POST. With it, or for a PUT, it
    // sends the message again when a used connection breaks; onRestarted() prevents that.
    soup_message_add_flags(call.message, SoupMessageFlags(SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_IDEMPOTENT));
    if (http.method != "GET") {
        GBytes *body = g_bytes_new(http.body.data(), http.body.size());
        soup_message_set_request_body_from_bytes(call.message, mediaTypeOf(call.request, m_settings.protocol), body);
        g_bytes_unref(body);
    }
    call.cancellable = g_cancellable_new();
    call.isOnNetwork = true;
    ++m_onNetwork;
    g_signal_connect(call.message, "network-event", G_CALLBACK(onNetworkEvent), &call);
    // The signal comes after the connection is open and before the first byte.
    g_signal_connect(call.message, "starting", G_CALLBACK(onStarting), &call);
    g_signal_connect(call.message, "restarted", G_CALLBACK(onRestarted), &call);
    soup_session_send_async(m_session, call.message, G_PRIORITY_DEFAULT, call.cancellable, onHead, &call);
}

void PlatformClient::onNetworkEvent(SoupMessage *, GSocketClientEvent event, GIOStream *stream, gpointer data)
{
    if (event == G_SOCKET_CLIENT_CONNECTED && G_IS_SOCKET_CONNECTION(stream)) {
        const auto &call = *static_cast<Call *>(data);
        limitSilence(g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream)), call.client->m_settings.silenceLimit);
    }
}

void PlatformClient::onStarting(SoupMessage *, gpointer data)
{
    static_cast<Call *>(data)->hasStarted = true;
}

void PlatformClient::onRestarted(SoupMessage *, gpointer data)
{
    auto &call = *static_cast<Call *>(data);
    call.isRestarted = true;
    g_cancellable_cancel(call.cancellable);
}

gboolean PlatformClient::onTimeout(gpointer data)
{
    auto &call = *static_cast<Call *>(data);
    call.timer = 0;
    call.isTimedOut = true;
    if (call.isOnNetwork) {
        // Idle connections may have gone silent together with this one, and would cost a timeout each. The calls in
        // progress keep the old session.
        call.client->openSession();
        // Whether the call was sent is known for certain only when the session has let go of it.
        g_cancellable_cancel(call.cancellable);
        return G_SOURCE_REMOVE;
    }
    PlatformClient &client = *call.client;
    std::erase(client.m_waiting, &call);
    client.finish(call, PlatformFailure {{ErrorCode::PlatformUnavailable, "not sent: too many calls wait, or the address is not valid"}});
    return G_SOURCE_REMOVE;
}

/// The answer to a call that ended in a transport error.
static PlatformResponse failureOf(const PlatformRequest &request, bool hasStarted, std::string detail)
{
    const bool isUnknown = hasStarted && isWrite(request);
    return PlatformFailure {{isUnknown ? ErrorCode::PlatformOutcomeUnknown : ErrorCode::PlatformUnavailable, std::move(detail)}};
}

static PlatformResponse decodeAnswer(
    const PlatformProtocol &protocol, const PlatformRequest &request, unsigned status, std::string_view body)
{
    Result<PlatformResponse> response = protocol.tryDecode(request, status, body);
    if (!isError(response)) {
        return valueOf(std::move(response));
    }
    if (!isWrite(request)) {
        return PlatformFailure {errorOf(response)};
    }
    return PlatformFailure {{ErrorCode::PlatformOutcomeUnknown, "malformed answer: " + errorOf(response).detail}};
}

void PlatformClient::onHead(GObject *session, GAsyncResult *result, gpointer data)
{
    auto &call = *static_cast<Call *>(data);
    g_autoptr(GError) error = nullptr;
    call.body = soup_session_send_finish(SOUP_SESSION(session), result, &error);
    if (call.body == nullptr) {
        answered(call, error->message);
    } else {
        readBody(call);
    }
}

void PlatformClient::readBody(Call &call)
{
    constexpr gsize ChunkBytes = 64 * 1024;
    g_input_stream_read_bytes_async(call.body, ChunkBytes, G_PRIORITY_DEFAULT, call.cancellable, onBody, &call);
}

void PlatformClient::onBody(GObject *stream, GAsyncResult *result, gpointer data)
{
    auto &call = *static_cast<Call *>(data);
    g_autoptr(GError) error = nullptr;
    g_autoptr(GBytes) bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &error);
    if (bytes == nullptr) {
        answered(call, error->message);
        return;
    }
    gsize size = 0;
    const auto *chunk = static_cast<const char *>(g_bytes_get_data(bytes, &size));
    if (size == 0) {
        answered(call, std::nullopt);
        return;
    }
    call.content.append(chunk, size);
    if (call.client != nullptr && call.content.size() > call.client->m_settings.maximumAnswerBytes) {
        // This closes the connection, so that the rest is not read.
        g_cancellable_cancel(call.cancellable);
        answered(call, "the answer is too long");
        return;
    }
    readBody(call);
}

/// 0 where the answer has no era.
static PlatformEra eraOf(SoupMessage *message, const std::string &header)
{
    const char *value = header.empty() ? nullptr : soup_message_headers_get_one(soup_message_get_response_headers(message), header.c_str());
    if (value == nullptr) {
        return 0;
    }
    const std::string_view text = value;
    PlatformEra era = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), era);
    return error == std::errc() && end == text.data() + text.size() ? era : 0;
}

void PlatformClient::setRestoredHandler(RestoredHandler onRestored)
{
    m_onRestored = std::move(onRestored);
}

void PlatformClient::noteEra(PlatformEra era)
{
    if (era <= m_era) {
        return;
    }
    const PlatformEra before = std::exchange(m_era, era);
    if (before == 0) {
        return;
    }
    logEvent(LogEvent::PlatformRestored, {{"era_before", before}, {"era", era}});
    if (m_onRestored) {
        m_onRestored({before, era});
    }
}

void PlatformClient::answered(Call &call, std::optional<std::string> failure)
{
    g_signal_handlers_disconnect_by_data(call.message, &call);
    if (call.client == nullptr) {
        delete &call;
        return;
    }
    PlatformClient &client = *call.client;
    --client.m_onNetwork;
    const PlatformEra era = eraOf(call.message, client.m_settings.protocol.eraHeader);
    client.noteEra(era);
    if (!failure && era != 0 && era < client.m_era) {
        failure = "an answer of era " + std::to_string(era) + " after one of era " + std::to_string(client.m_era);
    }
    if (failure) {
        const std::string detail = call.isRestarted ? "connection broken" : call.isTimedOut ? "timeout" : *failure;
        client.finish(call, failureOf(call.request, call.hasStarted, detail));
        return;
    }
    client.finish(call, decodeAnswer(client.m_settings.protocol, call.request, soup_message_get_status(call.message), call.content));
}

void PlatformClient::finish(Call &call, PlatformResponse response)
{
    report(call, response);
    const std::unique_ptr<Call> owned(&call);
    m_calls.erase(&call);
    startWaiting();
    // The callback may destroy the client, so nothing of it is used afterwards.
    const Callback callback = std::move(call.callback);
    callback(std::move(response));
}

static std::string_view nameOf(const PlatformRequest &request)
{
    static constexpr std::array<std::string_view, 6> Names {"read", "scan", "transaction", "get-object", "put-object", "watch"};
    return Names.at(request.index());
}

void PlatformClient::report(const Call &call, const PlatformResponse &response)
{
    const TimePoint now = m_clock.now();
    const Duration elapsed = now - call.sentAt;
    const Duration wait = waitOf(call.request);
    const auto *failure = std::get_if<PlatformFailure>(&response);
    if (failure == nullptr && elapsed < wait + SlowCall) {
        return;
    }
    if (m_lastReport && now - *m_lastReport < ReportInterval) {
        ++m_unreported;
        return;
    }
    const LogEvent event = failure != nullptr ? LogEvent::PlatformCallFailed : LogEvent::PlatformCallSlow;
    const std::string outcome = failure != nullptr ? describe(failure->error) : "answered";
    logEvent(event,
        {{"call", nameOf(call.request)},
            {"elapsed_us", elapsed.count()},
            {"wait_us", wait.count()},
            {"outcome", outcome},
            {"unreported", m_unreported}});
    m_lastReport = now;
    m_unreported = 0;
}

} // namespace Fuchsiastep

#include "UpstreamHttpServer.h"

#include "DisconnectWatch.h"

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace Fuchsiastep {

/// A request between its arrival and the end of its answer.
struct UpstreamHttpServer::Exchange
{
    UpstreamHttpServer *server = nullptr;
    SoupServerMessage *message = nullptr;
    EmulatedRequest request;
    /// Set while the request runs; not set for GET /health.
    std::optional<EmulatedRun> run;
    std::unique_ptr<DisconnectWatch> watch;
    guint timer = 0;

    Exchange() = default;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;
    ~Exchange()
    {
        if (timer != 0) {
            g_source_remove(timer);
        }
        g_signal_handlers_disconnect_by_data(message, this);
        g_object_unref(message);
    }
};

UpstreamHttpServer::UpstreamHttpServer(UpstreamEmulator &emulator) : m_emulator(emulator)
{
    m_server = SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, "raw-paths", TRUE, nullptr));
    soup_server_add_handler(m_server, nullptr, onRequest, this, nullptr);
}

UpstreamHttpServer::~UpstreamHttpServer()
{
    for (Exchange *exchange : m_exchanges) {
        delete exchange;
    }
    soup_server_disconnect(m_server);
    g_object_unref(m_server);
}

Result<SocketAddress> UpstreamHttpServer::tryListen(const SocketAddress &address)
{
    SocketAddress used = address;
    const Result<GSocket *> opened = tryOpenListeningSocket(used);
    if (isError(opened)) {
        return errorOf(opened);
    }
    g_autoptr(GSocket) socket = valueOf(opened);
    g_autoptr(GError) error = nullptr;
    if (!soup_server_listen_socket(m_server, socket, SoupServerListenOptions(0), &error)) {
        return Error {ErrorCode::ListenFailed, address.toString() + ": " + error->message};
    }
    return used;
}

static void respond(SoupServerMessage *message, const EmulatedAnswer &answer)
{
    soup_server_message_set_status(message, answer.status, nullptr);
    if (answer.isRefused) {
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "fuchsiastep-refused", "1");
    }
    soup_server_message_set_response(message, answer.mediaType.c_str(), SOUP_MEMORY_COPY, answer.body.data(), answer.body.size());
}

static std::string headerOf(SoupServerMessage *message, const char *name)
{
    const char *value = soup_message_headers_get_one(soup_server_message_get_request_headers(message), name);
    return value != nullptr ? value : "";
}

static std::optional<Duration> timeLeftOf(SoupServerMessage *message)
{
    const std::string text = headerOf(message, "fuchsiastep-deadline-ms");
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (text.empty() || parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(milliseconds);
}

static EmulatedRequest requestOf(SoupServerMessage *message, const char *path)
{
    const SoupMessageBody *body = soup_server_message_get_request_body(message);
    const std::string_view content(body->length > 0 ? body->data : "", static_cast<std::size_t>(body->length));
    EmulatedRequest request;
    request.method = soup_server_message_get_method(message);
    request.path = path;
    request.key = headerOf(message, "idempotency-key");
    request.caller = headerOf(message, "fuchsiastep-caller");
    request.bodyBytes = content.size();
    request.isCrash = content == "crash" || headerOf(message, "fuchsiastep-test") == "crash";
    request.wantsText = headerOf(message, "accept") == "text/plain";
    request.timeLeft = timeLeftOf(message);
    return request;
}

void UpstreamHttpServer::onRequest(SoupServer *, SoupServerMessage *message, const char *path, GHashTable *, gpointer data)
{
    auto &server = *static_cast<UpstreamHttpServer *>(data);
    const std::string_view name = path;
    const bool isGet = std::string_view(soup_server_message_get_method(message)) == "GET";
    if (isGet && name == "/health") {
        server.handleHealth(message);
    } else if (isGet && name == "/load") {
        respond(message, server.m_emulator.load());
    } else if (isGet && name == "/runs") {
        respond(message, server.m_emulator.runs());
    } else {
        server.handleRequest(message, path);
    }
}

UpstreamHttpServer::Exchange &UpstreamHttpServer::add(SoupServerMessage *message)
{
    auto owned = std::make_unique<Exchange>();
    Exchange &exchange = *owned.release();
    exchange.server = this;
    exchange.message = SOUP_SERVER_MESSAGE(g_object_ref(message));
    m_exchanges.insert(&exchange);
    g_signal_connect(message, "finished", G_CALLBACK(onFinished), &exchange);
    return exchange;
}

void UpstreamHttpServer::wait(Exchange &exchange, Duration duration)
{
    soup_server_message_pause(exchange.message);
    const auto milliseconds = std::chrono::round<std::chrono::milliseconds>(duration).count();
    exchange.timer = g_timeout_add(static_cast<guint>(milliseconds), onDue, &exchange);
}

void UpstreamHttpServer::handleHealth(SoupServerMessage *message)
{
    wait(add(message), m_emulator.settings().healthDelay);
}

void UpstreamHttpServer::handleRequest(SoupServerMessage *message, const char *path)
{
    EmulatedRequest request = requestOf(message, path);
    const std::variant<EmulatedRun, EmulatedAnswer> decision = m_emulator.begin(request);
    if (const auto *refusal = std::get_if<EmulatedAnswer>(&decision)) {
        respond(message, *refusal);
        return;
    }
    Exchange &exchange = add(message);
    exchange.request = std::move(request);
    runUntil(exchange, std::get<EmulatedRun>(decision));
}

void UpstreamHttpServer::runUntil(Exchange &exchange, const EmulatedRun &run)
{
    exchange.run = run;
    GSocket *socket = soup_server_message_get_socket(exchange.message);
    if (socket != nullptr) {
        exchange.watch = std::make_unique<DisconnectWatch>(socket, [this, &exchange] { abandon(exchange); });
    }
    wait(exchange, run.duration);
}

/// Ends the process as a fault in the upstream's own code would.
[[noreturn]] static void crash(const EmulatedRequest &request, const EmulatedRun &run)
{
    std::cerr << "crash run=" << run.number << " path=" << request.path << " key=" << request.key << std::endl;
    std::abort();
}

gboolean UpstreamHttpServer::onDue(gpointer data)
{
    auto &exchange = *static_cast<Exchange *>(data);
    exchange.timer = 0;
    exchange.watch.reset();
    UpstreamEmulator &emulator = exchange.server->m_emulator;
    if (exchange.run && exchange.run->endsInCrash) {
        crash(exchange.request, *exchange.run);
    }
    respond(exchange.message, exchange.run ? emulator.finish(exchange.request, *exchange.run) : emulator.health());
    exchange.run.reset();
    soup_server_message_unpause(exchange.message);
    return G_SOURCE_REMOVE;
}

void UpstreamHttpServer::abandon(Exchange &exchange)
{
    m_emulator.abandon();
    exchange.run.reset();
    g_source_remove(exchange.timer);
    exchange.timer = 0;
    // The session ends when libsoup finds the connection closed while it writes.
    soup_server_message_set_status(exchange.message, SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
    soup_server_message_unpause(exchange.message);
}

void UpstreamHttpServer::onFinished(SoupServerMessage *, gpointer data)
{
    const std::unique_ptr<Exchange> exchange(static_cast<Exchange *>(data));
    if (exchange->run) {
        exchange->server->m_emulator.abandon();
    }
    exchange->server->m_exchanges.erase(exchange.get());
}

} // namespace Fuchsiastep

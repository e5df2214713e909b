#include <LibPlatform/PlatformHttpService.h>

#include <LibCore/ListeningSocket.h>
#include <LibCore/Logger.h>
#include <LibPlatform/PlatformCodec.h>

#include <memory>

namespace Fuchsiastep {

static constexpr const char *JsonMediaType = "application/json";
static constexpr std::string_view FaultsPath = "/v1/faults";
static constexpr std::string_view CountersPath = "/v1/counters";
static constexpr std::string_view RestorePath = "/v1/restore";

/// A call between its arrival and its answer.
struct PlatformHttpService::Call
{
    PlatformHttpService *service = nullptr;
    SoupServerMessage *message = nullptr;
    PlatformRequest request;
    PlatformFaultPlan plan;
    PlatformResponse response;
    guint timer = 0;
    bool isWaiting = false;

    Call() = default;
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;
    ~Call()
    {
        if (timer != 0) {
            g_source_remove(timer);
        }
        g_object_unref(message);
    }
};

PlatformHttpService::PlatformHttpService(PlatformStore &store, PlatformFaults &faults) : m_store(store), m_faults(faults)
{
    // Object names are percent-encoded and decoded by the codec only.
    m_server = SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, "raw-paths", TRUE, nullptr));
    soup_server_add_handler(m_server, nullptr, onRequest, this, nullptr);
}

PlatformHttpService::~PlatformHttpService()
{
    if (m_restoreTimer != 0) {
        g_source_remove(m_restoreTimer);
    }
    for (Call *call : m_calls) {
        delete call;
    }
    soup_server_disconnect(m_server);
    g_object_unref(m_server);
}

Result<SocketAddress> PlatformHttpService::tryListen(const SocketAddress &address)
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

static std::string bodyOf(SoupServerMessage *message)
{
    const SoupMessageBody *body = soup_server_message_get_request_body(message);
    return body->length > 0 ? std::string(body->data, static_cast<std::size_t>(body->length)) : std::string();
}

void PlatformHttpService::respond(SoupServerMessage *message, const PlatformHttpAnswer &answer, const char *mediaType)
{
    soup_server_message_set_status(message, answer.status, nullptr);
    const std::string era = std::to_string(m_store.era());
    soup_message_headers_replace(soup_server_message_get_response_headers(message), PlatformEraHeader, era.c_str());
    soup_server_message_set_response(message, mediaType, SOUP_MEMORY_COPY, answer.body.data(), answer.body.size());
}

void PlatformHttpService::onRequest(SoupServer *, SoupServerMessage *message, const char *path, GHashTable *, gpointer data)
{
    auto &service = *static_cast<PlatformHttpService *>(data);
    if (path == FaultsPath) {
        service.handleFaults(message);
        return;
    }
    if (path == RestorePath) {
        service.handleRestore(message);
        return;
    }
    if (path == CountersPath) {
        service.respond(message, {SOUP_STATUS_OK, service.m_counters.toJson().toText()}, JsonMediaType);
        return;
    }
    service.handleCall(message, path);
}

void PlatformHttpService::handleFaults(SoupServerMessage *message)
{
    if (std::string_view(soup_server_message_get_method(message)) == "POST") {
        const Result<PlatformFaultSettings> settings = PlatformFaultSettings::tryParse(bodyOf(message));
        if (isError(settings)) {
            const JsonValue text = JsonValue::Object {{"error", describe(errorOf(settings))}};
            respond(message, {SOUP_STATUS_BAD_REQUEST, text.toText()}, JsonMediaType);
            return;
        }
        m_faults.setSettings(valueOf(settings));
        logEvent(LogEvent::PlatformFaultChanged, {{"faults", valueOf(settings).toJson().toText()}});
    }
    respond(message, {SOUP_STATUS_OK, m_faults.settings().toJson().toText()}, JsonMediaType);
}

void PlatformHttpService::handleRestore(SoupServerMessage *message)
{
    const Result<PlatformRestoreFault> fault = PlatformRestoreFault::tryParse(bodyOf(message));
    if (isError(fault)) {
        const JsonValue text = JsonValue::Object {{"error", describe(errorOf(fault))}};
        respond(message, {SOUP_STATUS_BAD_REQUEST, text.toText()}, JsonMediaType);
        return;
    }
    restore(valueOf(fault));
    respond(message, {SOUP_STATUS_OK, JsonValue(JsonValue::Object {}).toText()}, JsonMediaType);
}

void PlatformHttpService::restore(const PlatformRestoreFault &fault)
{
    if (m_restoredRevision) {
        return;
    }
    m_restoredRevision = m_store.revisionBefore(fault.copyAge);
    m_restoreTimer =
        g_timeout_add(static_cast<guint>(std::chrono::ceil<std::chrono::milliseconds>(fault.away).count()), onRestoreDue, this);
}

gboolean PlatformHttpService::onRestoreDue(gpointer data)
{
    auto &service = *static_cast<PlatformHttpService *>(data);
    service.m_restoreTimer = 0;
    service.m_store.restore(*std::exchange(service.m_restoredRevision, std::nullopt));
    logEvent(LogEvent::PlatformRestored, {{"era", service.m_store.era()}, {"revision", service.m_store.lastRevision()}});
    return G_SOURCE_REMOVE;
}

void PlatformHttpService::handleCall(SoupServerMessage *message, const char *path)
{
    const PlatformHttpRequest http {soup_server_message_get_method(message), path, bodyOf(message)};
    m_counters.bytesIn += http.body.size();
    Result<PlatformRequest> request = tryDecodePlatformRequest(http);
    if (isError(request)) {
        ++m_counters.malformed;
        const PlatformHttpAnswer refusal = encodePlatformResponse(PlatformFailure {errorOf(request)});
        m_counters.bytesOut += refusal.body.size();
        respond(message, refusal, PlatformMediaType);
        return;
    }
    auto owned = std::make_unique<Call>();
    Call &call = *owned.release();
    call.service = this;
    call.message = SOUP_SERVER_MESSAGE(g_object_ref(message));
    call.plan = m_faults.planFor(valueOf(request));
    call.request = valueOf(std::move(request));
    m_calls.insert(&call);
    countRequest(call.request);
    soup_server_message_pause(message);
    schedule(call, call.plan.delay, onEffectDue);
}

void PlatformHttpService::schedule(Call &call, Duration delay, GSourceFunc function)
{
    if (delay.count() <= 0) {
        function(&call);
        return;
    }
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
    call.timer = g_timeout_add(static_cast<guint>(milliseconds), function, &call);
}

gboolean PlatformHttpService::onEffectDue(gpointer data)
{
    auto &call = *static_cast<Call *>(data);
    call.timer = 0;
    call.service->takeEffect(call);
    return G_SOURCE_REMOVE;
}

gboolean PlatformHttpService::onAnswerDue(gpointer data)
{
    auto &call = *static_cast<Call *>(data);
    call.timer = 0;
    call.service->answer(call);
    return G_SOURCE_REMOVE;
}

/// Breaks the connection, so that the answer that is about to be written is never sent.
static void breakConnection(SoupServerMessage *message)
{
    GSocket *socket = soup_server_message_get_socket(message);
    if (socket != nullptr) {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
}

void PlatformHttpService::takeEffect(Call &call)
{
    if (call.plan.isRefused || m_faults.isDown() || m_restoredRevision) {
        ++m_counters.refused;
        call.plan.isRefused = true;
        call.response = PlatformFailure {{ErrorCode::PlatformUnavailable, "down"}};
        answer(call);
        return;
    }
    if (call.plan.losesRequest) {
        ++m_counters.requestsLost;
        breakConnection(call.message);
        answer(call);
        return;
    }
    call.response = execute(call.request, call.plan.isStale);
    const auto *watch = std::get_if<WatchRows>(&call.request);
    const auto *changes = std::get_if<RowsChanged>(&call.response);
    if (watch != nullptr && changes != nullptr && changes->rows.empty() && watch->wait.count() > 0) {
        call.isWaiting = true;
        schedule(call, watch->wait, onWatchDue);
        return;
    }
    const bool isCommitted = std::holds_alternative<Committed>(call.response);
    const bool isFollowedByRestore = isCommitted && call.plan.isFollowedByRestore;
    respondTo(call);
    if (isCommitted) {
        answerWatches();
    }
    if (isFollowedByRestore) {
        restore(m_faults.settings().restore);
    }
}

void PlatformHttpService::respondTo(Call &call)
{
    call.isWaiting = false;
    countResponse(call.request, call.response);
    schedule(call, call.plan.answerDelay, onAnswerDue);
}

gboolean PlatformHttpService::onWatchDue(gpointer data)
{
    auto &call = *static_cast<Call *>(data);
    call.timer = 0;
    // A store that came back from a copy holds the watch as one that nothing has changed for.
    call.response = RowsChanged {{}, call.service->m_store.lastRevision()};
    call.service->respondTo(call);
    return G_SOURCE_REMOVE;
}

/// Answers the waiting watches whose rows have changed.
void PlatformHttpService::answerWatches()
{
    const std::vector<Call *> calls(m_calls.begin(), m_calls.end());
    for (Call *call : calls) {
        if (!call->isWaiting) {
            continue;
        }
        PlatformResponse response = m_store.handle(call->request);
        const auto *changes = std::get_if<RowsChanged>(&response);
        if (changes != nullptr && !changes->rows.empty()) {
            g_source_remove(std::exchange(call->timer, 0));
            call->response = std::move(response);
            respondTo(*call);
        }
    }
}

PlatformResponse PlatformHttpService::execute(const PlatformRequest &request, bool isStale)
{
    if (!isStale) {
        return m_store.handle(request);
    }
    ++m_counters.staleReads;
    return m_store.handleStale(request, m_faults.staleRevisionOf(m_store));
}

void PlatformHttpService::answer(Call &call)
{
    const std::unique_ptr<Call> owned(&call);
    m_calls.erase(&call);
    if (call.plan.losesAnswer && !call.plan.isRefused && !call.plan.losesRequest) {
        ++m_counters.answersLost;
        breakConnection(call.message);
    }
    const PlatformHttpAnswer http = encodePlatformResponse(call.response);
    m_counters.bytesOut += http.body.size();
    const bool isObject = std::holds_alternative<ObjectContent>(call.response);
    respond(call.message, http, isObject ? PlatformObjectMediaType : PlatformMediaType);
    soup_server_message_unpause(call.message);
}

void PlatformHttpService::countRequest(const PlatformRequest &request)
{
    std::visit(Overloaded {
                   [&](const ReadRows &) { ++m_counters.reads; },
                   [&](const ScanRows &) {
                       ++m_counters.reads;
                       ++m_counters.scans;
                   },
                   [&](const Transaction &) { ++m_counters.transactions; },
                   [&](const GetObject &) { ++m_counters.objectsRead; },
                   [&](const PutObject &) { ++m_counters.objectsWritten; },
                   [&](const WatchRows &) { ++m_counters.reads; },
               },
        request);
}

void PlatformHttpService::countResponse(const PlatformRequest &request, const PlatformResponse &response)
{
    if (const auto *rows = std::get_if<Rows>(&response)) {
        m_counters.rowsRead += rows->rows.size();
    }
    if (std::holds_alternative<Conflict>(response)) {
        ++m_counters.conflicts;
    }
    if (std::holds_alternative<Committed>(response) && std::holds_alternative<Transaction>(request)) {
        m_counters.writes += std::get<Transaction>(request).writes.size();
    }
}

} // namespace Fuchsiastep

#include <LibProxy/OperatorTask.h>

#include <LibProxy/SoupSupport.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Fuchsiastep {

static constexpr std::uint64_t MaximumBodyBytes = 8 * 1024 * 1024; // A whole set of declarations at the target size.
static constexpr std::uint32_t MaximumAuditEntries = 1000;
/// A departure is acknowledged after this time even if no other member has confirmed it: upstreams ignore an acknowledgement
/// that takes longer than a second.
static constexpr Duration HandOverLimit = std::chrono::milliseconds(500);

static std::map<std::string, std::string> parseQuery(const std::string &query)
{
    std::map<std::string, std::string> fields;
    GHashTable *decoded = soup_form_decode(query.c_str());
    GHashTableIter iterator;
    g_hash_table_iter_init(&iterator, decoded);
    gpointer name = nullptr;
    gpointer value = nullptr;
    while (g_hash_table_iter_next(&iterator, &name, &value)) {
        fields[static_cast<const char *>(name)] = static_cast<const char *>(value);
    }
    g_hash_table_unref(decoded);
    return fields;
}

struct OperatorTask::Endpoint
{
    std::string_view method;
    std::string_view path;
    Handler handler;
};

OperatorTask::OperatorTask(
    const EdgeProtocol &protocol, const UpstreamSettings &upstream, const Clock &clock, MetricsRegistry &metrics, EventHandler onEvent)
    : m_protocol(protocol)
    , m_silenceLimit(upstream.silence())
    , m_hold(upstream.service, upstream.heartbeat)
    , m_order(upstream.heartbeat)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_onEvent(std::move(onEvent))
    , m_server(MaximumBodyBytes, [this](HttpServerEvent event) { handleHttp(std::move(event)); })
    , m_silenceTimer(clock, [this] { m_onEvent(AnnouncementsEnded {}); })
    , m_handOverTimer(clock, [this] { endHandOver(); })
    , m_mailbox([this](OperatorTaskMessage message) { std::visit([this](const auto &content) { handle(content); }, message); })
    , m_replies([this](const std::pair<std::uint64_t, OperatorReply> &reply) { answer(reply.first, reply.second); })
{ }

OperatorTask::~OperatorTask() = default;

Result<Done> OperatorTask::tryListen(const SocketAddress &address)
{
    return m_server.tryListen(address);
}

SocketAddress OperatorTask::address() const
{
    return m_server.address();
}

void OperatorTask::limitClients(SharedIngress &ingress, std::size_t connections)
{
    m_server.shareIngress(ingress);
    m_server.limitConnections(connections);
}

void OperatorTask::post(OperatorTaskMessage message)
{
    m_mailbox.post(std::move(message));
}

void OperatorTask::handle(const ReadyChanged &change)
{
    m_isReady = change.isReady;
}

void OperatorTask::handle(const ConfigurationAdopted &adopted)
{
    passAll(m_hold.setConfiguration(adopted.configuration));
    if (m_hold.isWaitingForDepartures()) {
        m_onEvent(DepartureHistoryWanted {});
    }
}

void OperatorTask::handle(const DepartureHeld &)
{
    endHandOver();
}

void OperatorTask::handle(const DepartureLearned &learned)
{
    const DepartedUpstream &departed = learned.departed;
    if (departed.upstreamId.empty()) {
        return;
    }
    logEvent(LogEvent::DepartureLearned, {{"upstream", departed.upstreamId}});
    m_departed = UpstreamDeparted {departed.upstreamId, departed.startedUnixMs, departed.startedUnixMs ? 0 : departed.latestStartUnixMs};
    m_order.restoreDeparture(*m_departed);
    endAnnouncedIfLeaving();
}

void OperatorTask::handle(const DepartureHistoryKnown &)
{
    passAll(m_hold.releaseDepartures());
}

void OperatorTask::handleHttp(HttpServerEvent event)
{
    if (const auto *request = std::get_if<HttpRequest>(&event)) {
        dispatch(*request);
    }
}

void OperatorTask::dispatch(const HttpRequest &request)
{
    static constexpr std::array Endpoints {
        Endpoint {"GET", "/ready", &OperatorTask::ready},
        Endpoint {"GET", "/metrics", &OperatorTask::metrics},
        Endpoint {"POST", "/v1/upstream/announce", &OperatorTask::announce},
        Endpoint {"GET", "/v1/operator/status", &OperatorTask::status},
        Endpoint {"GET", "/v1/operator/members", &OperatorTask::members},
        Endpoint {"GET", "/v1/operator/objects", &OperatorTask::objects},
        Endpoint {"POST", "/v1/operator/changes", &OperatorTask::changes},
        Endpoint {"GET", "/v1/operator/audit", &OperatorTask::audit},
        Endpoint {"GET", "/v1/operator/routes", &OperatorTask::routes},
        Endpoint {"POST", "/v1/operator/drain", &OperatorTask::drain},
    };
    if (request.rejection != ErrorCode::None) {
        fail(request.token, {request.rejection, "at most " + std::to_string(MaximumBodyBytes) + " bytes"});
        return;
    }
    if (dispatchByProtocol(request)) {
        return;
    }
    for (const Endpoint &endpoint : Endpoints) {
        if (endpoint.method == request.method && endpoint.path == request.path) {
            (this->*endpoint.handler)(request);
            return;
        }
    }
    fail(request.token, {ErrorCode::OperatorRequestMalformed, "no such request: " + request.method + ' ' + request.path});
}

void OperatorTask::ready(const HttpRequest &request)
{
    m_server.answer({request.token, static_cast<std::uint16_t>(m_isReady ? 200 : 503), {}, m_isReady ? "ready\n" : "not ready\n"});
}

void OperatorTask::metrics(const HttpRequest &request)
{
    const ProcessUsage usage = ProcessUsage::current();
    m_metrics.setGauge("fuchsiastep_processor_seconds", std::chrono::duration<double>(usage.processorTime).count());
    m_metrics.setGauge("fuchsiastep_resident_bytes", static_cast<double>(usage.residentBytes));
    m_metrics.setGauge("fuchsiastep_dropped_log_lines", static_cast<double>(droppedLogLines()));
    m_server.answer({request.token, 200, {{"content-type", "text/plain; version=0.0.4"}}, m_metrics.toText()});
}

void OperatorTask::announce(const HttpRequest &request)
{
    const Result<UpstreamAnnouncement> announcement = UpstreamAnnouncement::tryParse(request.body);
    if (isError(announcement)) {
        fail(request.token, errorOf(announcement));
        return;
    }
    take(valueOf(announcement));
    m_server.answer({request.token, 204, {}, {}});
}

bool OperatorTask::dispatchByProtocol(const HttpRequest &request)
{
    ControlMessage message = m_protocol.readControl(request);
    return std::visit(Overloaded {
                          [](std::monostate) { return false; },
                          [&](const ReadinessWanted &) {
                              ready(request);
                              return true;
                          },
                          [&](UpstreamAnnouncement &announcement) {
                              take(std::move(announcement));
                              acknowledge(request.token);
                              return true;
                          },
                          [&](const UpstreamDeparture &departure) {
                              depart(departure);
                              acknowledge(request.token);
                              return true;
                          },
                          [&](const Error &error) {
                              fail(request.token, error);
                              return true;
                          },
                      },
        message);
}

void OperatorTask::take(UpstreamAnnouncement announcement)
{
    const HoldReason reason = m_hold.admit(announcement, m_clock.now());
    if (reason == HoldReason::None) {
        pass(std::move(announcement));
        return;
    }
    logEvent(LogEvent::AnnouncementHeld,
        {{"upstream", announcement.upstreamId},
            {"service", announcement.service},
            {"started", announcement.lifetime->startedUnixMs},
            {"sequence", announcement.lifetime->sequence},
            {"reason", holdReasonName(reason)}});
    m_metrics.count("fuchsiastep_announcements_held_total", "reason=\"" + std::string(holdReasonName(reason)) + '"');
    if (reason == HoldReason::DeparturesUnknown) {
        m_onEvent(DepartureHistoryWanted {});
    }
}

void OperatorTask::passAll(std::vector<UpstreamAnnouncement> announcements)
{
    for (UpstreamAnnouncement &announcement : announcements) {
        pass(std::move(announcement));
    }
}

void OperatorTask::pass(UpstreamAnnouncement announcement)
{
    if (!m_order.accept(announcement, m_clock.now())) {
        logEvent(LogEvent::AnnouncementIgnored,
            {{"upstream", announcement.upstreamId},
                {"started", announcement.lifetime->startedUnixMs},
                {"sequence", announcement.lifetime->sequence}});
        m_metrics.count("fuchsiastep_announcements_ignored_total");
        return;
    }
    m_silenceTimer.setDeadline(m_clock.now() + m_silenceLimit);
    m_lastAnnouncement = announcement;
    // An upstream without lifetimes repeats to the next process that it leaves.
    if (announcement.isDraining && announcement.lifetime) {
        handOver({announcement.upstreamId, announcement.lifetime->startedUnixMs});
    }
    m_onEvent(std::move(announcement));
}

void OperatorTask::depart(const UpstreamDeparture &departure)
{
    // The clock of the upstream may be ahead of that of the proxy.
    const std::int64_t now = std::max(m_clock.unixMilliseconds(), m_hold.latestStartOf(departure.upstreamId).value_or(0));
    UpstreamDeparted departed = m_order.acceptDeparture(departure.upstreamId, departure.lifetime, now);
    logEvent(LogEvent::DepartureAccepted,
        {{"upstream", departed.upstreamId},
            {"started", departed.startedUnixMs.value_or(0)},
            {"latest_start", departed.latestStartUnixMs},
            {"current", m_order.isCurrentLeaving()}});
    handOver(std::move(departed));
    endAnnouncedIfLeaving();
}

void OperatorTask::endAnnouncedIfLeaving()
{
    if (m_lastAnnouncement && !m_lastAnnouncement->isDraining && m_order.isCurrentLeaving()) {
        m_lastAnnouncement->isDraining = true;
        m_onEvent(*m_lastAnnouncement);
    }
}

void OperatorTask::handOver(UpstreamDeparted departed)
{
    if (m_departed == departed) {
        return;
    }
    m_departed = departed;
    m_isHandingOver = true;
    m_handOverTimer.setDeadline(m_clock.now() + HandOverLimit);
    m_onEvent(std::move(departed));
}

void OperatorTask::acknowledge(std::uint64_t token)
{
    m_unacknowledged.push_back(token);
    if (!m_isHandingOver) {
        endHandOver();
    }
}

void OperatorTask::endHandOver()
{
    m_isHandingOver = false;
    m_handOverTimer.setDeadline(std::nullopt);
    for (const std::uint64_t token : std::exchange(m_unacknowledged, {})) {
        answer(token, {200, JsonValue::Object {}});
    }
}

void OperatorTask::status(const HttpRequest &request)
{
    m_onEvent(WholeStatusWanted {replyTo(request.token)});
}

void OperatorTask::members(const HttpRequest &request)
{
    m_onEvent(MembersWanted {replyTo(request.token)});
}

void OperatorTask::objects(const HttpRequest &request)
{
    m_onEvent(ObjectsWanted {replyTo(request.token)});
}

void OperatorTask::changes(const HttpRequest &request)
{
    const bool isRepeated = parseQuery(request.query).contains("repeated");
    m_onEvent(ChangeSubmitted {request.body, isRepeated, replyTo(request.token)});
}

/// Returns false where the field is there and not a number.
template<typename Number>
static bool readNumber(const std::map<std::string, std::string> &fields, const std::string &name, Number &number)
{
    const auto field = fields.find(name);
    if (field == fields.end()) {
        return true;
    }
    const std::string &text = field->second;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

void OperatorTask::audit(const HttpRequest &request)
{
    AuditWanted wanted;
    const std::map<std::string, std::string> fields = parseQuery(request.query);
    if (!readNumber(fields, "after", wanted.afterVersion) || !readNumber(fields, "limit", wanted.limit) || wanted.limit == 0
        || wanted.limit > MaximumAuditEntries) {
        fail(request.token, {ErrorCode::OperatorRequestMalformed, "after must be a version and limit from 1 to 1000"});
        return;
    }
    wanted.reply = replyTo(request.token);
    m_onEvent(std::move(wanted));
}

void OperatorTask::routes(const HttpRequest &request)
{
    std::map<std::string, std::string> fields = parseQuery(request.query);
    m_onEvent(RoutesWanted {std::move(fields["service"]), replyTo(request.token)});
}

void OperatorTask::drain(const HttpRequest &request)
{
    m_onEvent(DrainWanted {});
    answer(request.token, {202, JsonValue::Object {{"draining", true}}});
}

void OperatorTask::fail(std::uint64_t token, const Error &error)
{
    logEvent(LogEvent::OperatorRequestRejected, {{"error", describe(error)}});
    answer(token, operatorFailure(error));
}

void OperatorTask::answer(std::uint64_t token, const OperatorReply &reply)
{
    m_server.answer({token, reply.status, {{"content-type", "application/json"}}, reply.body.toText() + '\n'});
}

OperatorReplyHandler OperatorTask::replyTo(std::uint64_t token)
{
    return [this, token](OperatorReply reply) {
        m_replies.post({token, std::move(reply)});
    };
}

} // namespace Fuchsiastep

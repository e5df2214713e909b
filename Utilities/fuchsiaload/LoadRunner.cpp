#include "LoadRunner.h"

#include <LibCore/ProcessUsage.h>

#include <algorithm>

namespace Fuchsiastep {

/// Time beyond the deadline after which a request is given up here; the proxy should have answered before.
static constexpr Duration AnswerGrace = std::chrono::seconds(1);
/// Interval of the check whether the duration is over.
static constexpr guint TickMs = 20;
/// In an open loop, at most this many requests wait for a place in flight. Later ones are never sent.
static constexpr std::size_t MaximumArrivals = 100'000;

struct LoadRunner::Exchange
{
    LoadRunner *runner = nullptr;
    PlannedRequest request;
    TimePoint due;
    SoupMessage *message = nullptr;
    GCancellable *cancellable = nullptr;
    guint timer = 0;
    bool hasStarted = false;
    bool isTimedOut = false;

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
        g_object_unref(cancellable);
    }
};

LoadRunner::LoadRunner(const LoadSettings &settings, std::string runId)
    : m_settings(settings), m_planner(settings, std::move(runId)), m_checker(settings.isDirect)
{
    const int connections = static_cast<int>(settings.concurrency);
    const int targets = static_cast<int>(settings.targets.size());
    // With room for every target, no connection is closed to make place for one to another target.
    m_session = soup_session_new_with_options(
        "max-conns", connections * targets, "max-conns-per-host", connections, "proxy-resolver", nullptr, nullptr);
    soup_session_remove_feature_by_type(m_session, SOUP_TYPE_CONTENT_DECODER);
    m_loop = g_main_loop_new(nullptr, FALSE);
}

LoadRunner::~LoadRunner()
{
    g_main_loop_unref(m_loop);
    g_object_unref(m_session);
}

const LoadSummary &LoadRunner::run()
{
    m_startedAt = m_clock.now();
    startMeasuring();
    const guint tick = g_timeout_add(TickMs, onTick, this);
    pump();
    g_main_loop_run(m_loop);
    g_source_remove(tick);
    m_summary.setTimes(m_clock.now() - m_measuredFrom, ProcessUsage::current().processorTime - m_processorTimeBefore);
    return m_summary;
}

void LoadRunner::startMeasuring()
{
    m_measuredFrom = m_clock.now();
    m_processorTimeBefore = ProcessUsage::current().processorTime;
}

gboolean LoadRunner::onTick(gpointer data)
{
    static_cast<LoadRunner *>(data)->pump();
    return G_SOURCE_CONTINUE;
}

bool LoadRunner::isSendingOver() const
{
    const bool isCountReached = m_settings.requests > 0 && m_planned >= m_settings.requests + m_settings.warmup;
    const bool isTimeOver = m_settings.duration.count() > 0 && m_clock.now() - m_startedAt >= m_settings.duration;
    return isCountReached || isTimeOver;
}

void LoadRunner::planDue()
{
    const TimePoint now = m_clock.now();
    while (!isSendingOver() && m_arrivals.size() < MaximumArrivals) {
        TimePoint due = now;
        if (m_settings.rate > 0) {
            due = m_startedAt + Duration(static_cast<Duration::rep>(static_cast<double>(m_planned) * 1e6 / m_settings.rate));
            if (due > now) {
                m_dueTimer.start(due - now);
                return;
            }
        } else if (m_inFlight + m_arrivals.size() >= m_settings.concurrency) {
            return;
        }
        for (PlannedRequest &request : m_planner.next()) {
            ++m_planned;
            m_arrivals.push_back({std::move(request), due});
        }
    }
}

void LoadRunner::pump()
{
    planDue();
    while (!m_arrivals.empty() && m_inFlight < m_settings.concurrency) {
        Arrival arrival = std::move(m_arrivals.front());
        m_arrivals.pop_front();
        send(std::move(arrival));
    }
    if (m_inFlight == 0 && m_arrivals.empty() && isSendingOver()) {
        g_main_loop_quit(m_loop);
    }
}

void LoadRunner::send(Arrival arrival)
{
    auto owned = std::make_unique<Exchange>();
    Exchange &exchange = *owned.release();
    exchange.runner = this;
    exchange.request = std::move(arrival.request);
    // In an open loop the latency includes the wait here, else a slow server would slow down its own measurement.
    exchange.due = arrival.due;
    const PlannedRequest &request = exchange.request;
    const std::string prefix = m_settings.isDirect ? "" : "/v1/call/" + m_settings.service;
    exchange.message = soup_message_new(request.method.c_str(), (m_settings.targets.at(request.target) + prefix + request.path).c_str());
    // The idempotent flag lets a POST use an open connection; onRestarted() prevents that libsoup repeats it.
    soup_message_add_flags(exchange.message, SoupMessageFlags(SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_IDEMPOTENT));
    SoupMessageHeaders *headers = soup_message_get_request_headers(exchange.message);
    const auto deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.deadline).count();
    soup_message_headers_append(headers, "fuchsiastep-deadline-ms", std::to_string(deadlineMs).c_str());
    soup_message_headers_append(headers, "fuchsiastep-caller", m_settings.caller.c_str());
    if (!request.key.empty()) {
        soup_message_headers_append(headers, "idempotency-key", request.key.c_str());
    }
    if (!request.body.empty()) {
        g_autoptr(GBytes) body = g_bytes_new(request.body.data(), request.body.size());
        soup_message_set_request_body_from_bytes(exchange.message, "application/json", body);
    }
    exchange.cancellable = g_cancellable_new();
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.deadline + AnswerGrace).count();
    exchange.timer = g_timeout_add(static_cast<guint>(limit), onTimeout, &exchange);
    g_signal_connect(exchange.message, "starting", G_CALLBACK(onStarting), &exchange);
    g_signal_connect(exchange.message, "restarted", G_CALLBACK(onRestarted), &exchange);
    ++m_inFlight;
    soup_session_send_and_read_async(m_session, exchange.message, G_PRIORITY_DEFAULT, exchange.cancellable, onAnswered, &exchange);
}

void LoadRunner::onStarting(SoupMessage *, gpointer data)
{
    static_cast<Exchange *>(data)->hasStarted = true;
}

void LoadRunner::onRestarted(SoupMessage *, gpointer data)
{
    g_cancellable_cancel(static_cast<Exchange *>(data)->cancellable);
}

gboolean LoadRunner::onTimeout(gpointer data)
{
    auto &exchange = *static_cast<Exchange *>(data);
    exchange.timer = 0;
    exchange.isTimedOut = true;
    g_cancellable_cancel(exchange.cancellable);
    return G_SOURCE_REMOVE;
}

static std::string headerOf(SoupMessage *message, const char *name)
{
    const char *value = soup_message_headers_get_one(soup_message_get_response_headers(message), name);
    return value != nullptr ? value : "";
}

/// The outcome that the proxy reports, or nothing where it reports none.
static std::optional<RequestOutcome> reportedOutcome(SoupMessage *message)
{
    const std::string name = headerOf(message, "fuchsiastep-outcome");
    for (const RequestOutcome outcome : {RequestOutcome::Answered, RequestOutcome::NotRun, RequestOutcome::Unknown}) {
        if (nameOf(outcome) == name) {
            return outcome;
        }
    }
    return std::nullopt;
}

/// Fills in what the complete answer of a proxy or an upstream says.
static void readAnswer(SoupMessage *message, bool isDirect, RequestResult &result)
{
    result.status = soup_message_get_status(message);
    result.code = headerOf(message, "fuchsiastep-code");
    if (isDirect) {
        const bool isRefused = headerOf(message, "fuchsiastep-refused") == "1";
        result.outcome = isRefused ? RequestOutcome::NotRun : RequestOutcome::Answered;
        return;
    }
    const std::optional<RequestOutcome> outcome = reportedOutcome(message);
    result.outcome = outcome.value_or(RequestOutcome::Unknown);
    if (!outcome) {
        result.code = "no-outcome";
    }
}

void LoadRunner::onAnswered(GObject *session, GAsyncResult *asyncResult, gpointer data)
{
    const std::unique_ptr<Exchange> exchange(static_cast<Exchange *>(data));
    LoadRunner &runner = *exchange->runner;
    g_autoptr(GError) error = nullptr;
    g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(session), asyncResult, &error);
    RequestResult result;
    result.latency = runner.m_clock.now() - exchange->due;
    result.request = std::move(exchange->request);
    if (body != nullptr) {
        gsize size = 0;
        const auto *content = static_cast<const char *>(g_bytes_get_data(body, &size));
        result.body.assign(size == 0 ? "" : content, size);
        readAnswer(exchange->message, runner.m_settings.isDirect, result);
    } else {
        result.outcome = exchange->hasStarted ? RequestOutcome::Unknown : RequestOutcome::NotRun;
        result.code = exchange->isTimedOut ? "no-answer" : exchange->hasStarted ? "connection-broken" : "connection-refused";
    }
    --runner.m_inFlight;
    runner.record(result);
    runner.pump();
}

void LoadRunner::record(const RequestResult &result)
{
    if (const std::optional<std::string> problem = m_checker.problemOf(result)) {
        m_summary.addProblem(*problem);
    }
    ++m_ended;
    if (m_ended > m_settings.warmup) {
        m_summary.add(result);
    } else if (m_ended == m_settings.warmup) {
        startMeasuring();
    }
}

} // namespace Fuchsiastep

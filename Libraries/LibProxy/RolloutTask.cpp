#include <LibProxy/RolloutTask.h>

#include <LibProxy/EarliestDeadline.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

/// Time between two decisions while nothing arrives.
static constexpr Duration DecisionPeriod = std::chrono::milliseconds(250);
static constexpr std::uint32_t MaximumOrders = 500;

RolloutTask::RolloutTask(const RolloutSettings &settings,
    const RolloutProtocol &protocol,
    const MembershipTable &table,
    const Clock &clock,
    MetricsRegistry &metrics,
    PlatformClient &platform)
    : m_protocol(protocol)
    , m_table(table)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_platform(platform)
    , m_controller(settings, clock)
    , m_split({}, clock)
    , m_recorder(clock)
    , m_timer(clock, [this] { runDue(); })
{ }

void RolloutTask::setCoordinator(std::function<bool()> isCoordinator)
{
    m_isCoordinator = std::move(isCoordinator);
}

void RolloutTask::start()
{
    runDue();
}

void RolloutTask::runDue()
{
    FleetSize size;
    const std::string &ownDataCentre = m_table.self().dataCentre;
    for (const MemberRecord *member : m_table.liveMembers(ownDataCentre)) {
        size.members.insert(member->proxyId);
    }
    for (const std::string &dataCentre : m_table.dataCentres()) {
        if (dataCentre != ownDataCentre) {
            size.otherDataCentres.insert(dataCentre);
        }
    }
    run(m_controller.handle(size));
    run(m_controller.handle(CoordinatorRole {m_isCoordinator()}));
    run(m_controller.advance());
    m_timer.setDeadline(m_clock.now() + DecisionPeriod);
}

void RolloutTask::run(std::vector<RolloutControllerOutput> outputs)
{
    for (RolloutControllerOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](const OrdersWanted &) { readOrders(); },
                       [this](const StatusWrite &wanted) { write(wanted); },
                       [this](const PhaseChanged &change) { logPhase(change); },
                   },
            output);
    }
}

void RolloutTask::readOrders()
{
    m_platform.send(
        ScanRows {m_protocol.orderPrefix, {}, MaximumOrders}, [this, alive = std::weak_ptr(m_isAlive)](const PlatformResponse &response) {
            if (alive.expired()) {
                return;
            }
            const auto *rows = std::get_if<Rows>(&response);
            if (rows == nullptr) {
                run(m_controller.handle(OrdersUnreadable {}));
            } else if (rows->rows.empty()) {
                run(m_controller.handle(OrdersRead {}));
            } else {
                readStatuses(rows->rows);
            }
        });
}

void RolloutTask::readStatuses(std::vector<Row> orders)
{
    m_platform.send(ScanRows {m_protocol.statusPrefix, {}, MaximumOrders},
        [this, alive = std::weak_ptr(m_isAlive), orders = std::move(orders)](const PlatformResponse &response) {
            if (alive.expired()) {
                return;
            }
            const auto *rows = std::get_if<Rows>(&response);
            if (rows == nullptr) {
                run(m_controller.handle(OrdersUnreadable {}));
                return;
            }
            OrdersRead read;
            for (const Row &row : orders) {
                const Result<RolloutOrder> order = m_protocol.tryReadOrder(row);
                if (isError(order)) {
                    logEvent(LogEvent::RolloutOrderRejected, {{"error", describe(errorOf(order))}});
                    continue;
                }
                OrderFound found {valueOf(order), std::nullopt, 0};
                const auto status = std::find_if(rows->rows.begin(), rows->rows.end(), [&](const Row &candidate) {
                    return candidate.key == m_protocol.statusPrefix + valueOf(order).service;
                });
                if (status != rows->rows.end()) {
                    found.status = m_protocol.readStatus(*status, valueOf(order));
                    found.statusRevision = status->revision;
                }
                read.orders.push_back(std::move(found));
            }
            run(m_controller.handle(read));
        });
}

void RolloutTask::write(const StatusWrite &wanted)
{
    const std::string key = m_protocol.statusPrefix + wanted.order.service;
    const Transaction transaction {{{key, wanted.expectedRevision}}, {{key, m_protocol.formatStatus(wanted.order, wanted.status)}}};
    // The next read of the orders tells whose write came first.
    m_platform.send(transaction, [this, alive = std::weak_ptr(m_isAlive)](const PlatformResponse &response) {
        if (!alive.expired() && std::holds_alternative<PlatformFailure>(response)) {
            m_metrics.count("fuchsiastep_rollout_write_failures_total");
        }
    });
}

void RolloutTask::logPhase(const PhaseChanged &change)
{
    if (!change.reason.empty()) {
        m_reasons[change.state.order.service] = change.reason;
    }
    logEvent(LogEvent::RolloutPhaseChanged,
        {{"service", change.state.order.service},
            {"target", change.state.order.target},
            {"order", change.state.order.revision},
            {"phase", nameOf(change.state.phase)},
            {"share_permille", change.state.sharePermille},
            {"reason", change.reason}});
}

void RolloutTask::update(const std::vector<RolloutState> &states, TimePoint knownAt)
{
    m_split.update(states, knownAt);
    m_recorder.update(m_split.states());
    for (const RolloutState &state : states) {
        m_metrics.setGauge("fuchsiastep_rollout_share_permille",
            isFinal(state.phase) ? 0 : static_cast<double>(state.sharePermille),
            "service=\"" + state.order.service + '"');
    }
}

RolloutNews RolloutTask::news() const
{
    RolloutNews news;
    const std::optional<TimePoint> knownAt = m_controller.knownAt();
    constexpr std::uint64_t Unknown = 3'600'000;
    news.ageMs = knownAt
        ? static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - *knownAt).count())
        : Unknown;
    news.states = m_controller.states();
    return news;
}

FleetTopicHandlers RolloutTask::topic()
{
    FleetTopicHandlers handlers;
    handlers.topic = FleetTopic::Rollouts;
    handlers.isInUse = [] {
        return true;
    };
    handlers.report = [this] {
        const std::optional<RunReport> report = m_recorder.report();
        return report ? encodeRunReports({*report}) : std::string();
    };
    handlers.answer = [this](const std::string &member, std::string_view content) {
        const auto reports = tryDecodeRunReports(content);
        if (!isError(reports) && !valueOf(reports).empty()) {
            run(m_controller.handle(MemberRuns {member, valueOf(reports)}));
        }
        return encodeRolloutNews(news());
    };
    handlers.acceptReply = [this](FleetReportTime reported, std::string_view content) {
        const auto read = tryDecodeRolloutNews(content);
        if (isError(read)) {
            return;
        }
        const auto age = std::chrono::milliseconds(m_clock.uninterruptedMilliseconds() - reported.sentAtMs + valueOf(read).ageMs);
        update(valueOf(read).states, m_clock.now() - age);
    };
    handlers.answerDataCentre = [this](const std::string &, std::string_view) {
        RolloutNews whole = news();
        whole.sums = m_controller.sums();
        return encodeRolloutNews(whole);
    };
    handlers.acceptDataCentreReply = [this](const std::string &dataCentre, FleetReportTime, std::string_view content) {
        const auto read = tryDecodeRolloutNews(content);
        if (!isError(read)) {
            run(m_controller.handle(DataCentreRuns {dataCentre, valueOf(read).states, valueOf(read).sums}));
        }
    };
    return handlers;
}

JsonValue::Array RolloutTask::status() const
{
    JsonValue::Array list;
    for (const RolloutState &state : m_split.states()) {
        const auto reason = m_reasons.find(state.order.service);
        list.push_back(JsonValue::Object {
            {"service", state.order.service},
            {"target", state.order.target},
            {"phase", nameOf(state.phase)},
            {"share_permille", std::uint64_t {state.sharePermille}},
            {"reason", reason == m_reasons.end() ? std::string() : reason->second},
        });
    }
    return list;
}

} // namespace Fuchsiastep

#pragma once

#include <LibMembership/LibMembership.h>
#include <LibProxy/AnnouncementHold.h>
#include <LibProxy/AnnouncementOrder.h>
#include <LibProxy/EdgeProtocol.h>
#include <LibProxy/HttpServer.h>
#include <LibProxy/Mailbox.h>
#include <LibProxy/OperatorMessages.h>
#include <LibProxy/ProxySettings.h>
#include <LibProxy/StatusWanted.h>
#include <LibProxy/Timer.h>
#include <LibProxy/UpstreamAnnouncement.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// The proxy serves, or does not.
struct ReadyChanged
{
    bool isReady = false;
};

using OperatorTaskMessage = std::variant<ReadyChanged, ConfigurationAdopted, DepartureHeld, DepartureLearned, DepartureHistoryKnown>;

/// The upstream has not announced itself for UpstreamSettings::silence.
struct AnnouncementsEnded
{ };

struct DrainWanted
{ };

/// Collect the whole status and reply.
struct WholeStatusWanted
{
    OperatorReplyHandler reply;
};

struct MembersWanted
{
    OperatorReplyHandler reply;
};

using OperatorTaskEvent = std::variant<UpstreamAnnouncement,
    UpstreamDeparted,
    DepartureHistoryWanted,
    AnnouncementsEnded,
    DrainWanted,
    WholeStatusWanted,
    MembersWanted,
    ChangeSubmitted,
    ObjectsWanted,
    AuditWanted,
    RoutesWanted>;

/// Serves the control address: operators, the upstream's announcements, metrics and readiness.
class OperatorTask
{
public:
    using EventHandler = std::function<void(OperatorTaskEvent event)>;

    /// \a protocol outlives the task.
    OperatorTask(
        const EdgeProtocol &protocol, const UpstreamSettings &upstream, const Clock &clock, MetricsRegistry &metrics, EventHandler onEvent);
    ~OperatorTask();

    /// Fails with ListenFailed.
    Result<Done> tryListen(const SocketAddress &address);
    SocketAddress address() const;
    /// Requests that have not arrived whole count against \a ingress, and \a connections may be open at once.
    void limitClients(SharedIngress &ingress, std::size_t connections);

    void post(OperatorTaskMessage message);

private:
    using Handler = void (OperatorTask::*)(const HttpRequest &request);
    struct Endpoint;
    struct Reply;

    void handle(const ReadyChanged &change);
    void handle(const ConfigurationAdopted &adopted);
    void handle(const DepartureHeld &held);
    void handle(const DepartureLearned &learned);
    void handle(const DepartureHistoryKnown &known);
    void handleHttp(HttpServerEvent event);
    void dispatch(const HttpRequest &request);

    void ready(const HttpRequest &request);
    void metrics(const HttpRequest &request);
    void announce(const HttpRequest &request);
    bool dispatchByProtocol(const HttpRequest &request);
    void take(UpstreamAnnouncement announcement);
    void pass(UpstreamAnnouncement announcement);
    void passAll(std::vector<UpstreamAnnouncement> announcements);
    void depart(const UpstreamDeparture &departure);
    /// The start that was announced last takes no new work where it leaves, or where a later one has left.
    void endAnnouncedIfLeaving();
    /// Passes the departure to other members, so that it survives this process.
    void handOver(UpstreamDeparted departed);
    void endHandOver();
    /// Answers a call of the upstream, after the handover in progress if there is one.
    void acknowledge(std::uint64_t token);
    void status(const HttpRequest &request);
    void members(const HttpRequest &request);
    void objects(const HttpRequest &request);
    void changes(const HttpRequest &request);
    void audit(const HttpRequest &request);
    void routes(const HttpRequest &request);
    void drain(const HttpRequest &request);

    void fail(std::uint64_t token, const Error &error);
    void answer(std::uint64_t token, const OperatorReply &reply);
    OperatorReplyHandler replyTo(std::uint64_t token);

    const EdgeProtocol &m_protocol;
    Duration m_silenceLimit;
    AnnouncementHold m_hold;
    AnnouncementOrder m_order;
    /// The last departure that was handed over or learned.
    std::optional<UpstreamDeparted> m_departed;
    /// Acknowledgements wait until other members hold m_departed.
    bool m_isHandingOver = false;
    /// Calls of the upstream that are answered after the handover.
    std::vector<std::uint64_t> m_unacknowledged;
    std::optional<UpstreamAnnouncement> m_lastAnnouncement;
    const Clock &m_clock;
    MetricsRegistry &m_metrics;
    EventHandler m_onEvent;
    bool m_isReady = false;
    HttpServer m_server;
    Timer m_silenceTimer;
    Timer m_handOverTimer;
    Mailbox<OperatorTaskMessage> m_mailbox;
    /// Replies come from other tasks in a later turn.
    Mailbox<std::pair<std::uint64_t, OperatorReply>> m_replies;
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/View.h>
#include <LibMembership/CrashSuspectEntry.h>
#include <LibMembership/CrashSuspectStoreMessages.h>
#include <LibPlatform/LibPlatform.h>
#include <LibProxy/CallParser.h>
#include <LibProxy/EdgeProtocol.h>
#include <LibProxy/HttpServer.h>
#include <LibProxy/Mailbox.h>
#include <LibProxy/PeerLinks.h>
#include <LibProxy/ProxySettings.h>
#include <LibProxy/RolloutTask.h>
#include <LibProxy/StatusWanted.h>
#include <LibProxy/Timer.h>
#include <LibProxy/UpstreamAnnouncement.h>
#include <LibProxy/UpstreamClient.h>
#include <LibProxy/WorkspaceQuotas.h>
#include <LibRequest/LibRequest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

namespace Fuchsiastep {

/// Another view is in force; later requests use it.
struct ViewChanged
{
    View::Pointer view;
};

/// The proxy knows the newest configuration around it, or no longer does.
struct ReadinessChanged
{
    bool isReady = false;
};

/// The upstream no longer announces itself.
struct UpstreamSilent
{ };

/// Refuse new work and finish what runs.
struct DrainStarted
{ };

/// Another member knows more about a request that crashes upstreams.
struct SuspectLearned
{
    CrashSuspectEntry entry;
};

/// An upstream has left its service.
struct UpstreamGone
{
    std::string service;
    std::string upstreamId;
    /// Upstreams that the service still has.
    std::size_t remaining = 0;
};

/// What callers may send, from the configuration.
struct CallerLimitsChanged
{
    HttpServerLimits limits;
};

/// What became of requests that waited for room in the quota of their workspace.
struct QuotaDecided
{
    std::vector<AllowanceDecision> decisions;
};

/// Number of live proxies, this one included.
struct ProxyCountChanged
{
    std::size_t count = 1;
};

/// Another retry budget, from the settings.
struct RetriesChanged
{
    std::optional<RetryBudgets::FleetBudget> retries;
};

using RequestTaskMessage = std::variant<CallerLimitsChanged,
    RetriesChanged,
    QuotaDecided,
    ProxyCountChanged,
    ViewChanged,
    UpstreamGone,
    ReadinessChanged,
    PeerLinkEstablished,
    PeerFrameReceived,
    PeerConnectionClosed,
    UpstreamAnnouncement,
    UpstreamSilent,
    DrainStarted,
    SuspectLearned,
    PlatformRestored,
    PlatformReply,
    StatusWanted>;

/// Nothing is in flight after DrainStarted.
struct RequestsDrained
{ };

/// The upstream crashed with these requests in flight; for the other members.
struct SuspectsChanged
{
    std::vector<CrashSuspectEntry> entries;
};

/// Requests wait for tokens that the coordinator of the data centre has to grant.
struct QuotaTokensWanted
{ };

using RequestTaskEvent = std::variant<RequestsDrained, SuspectsChanged, CrashObserved, QuotaTokensWanted>;

/// Carries requests: it owns the callers' HTTP server, the client of the upstream beside the proxy, and the decision
/// objects of both sides. Requests between proxies go through PeerLinks.
class RequestTask
{
public:
    using EventHandler = std::function<void(RequestTaskEvent event)>;

    RequestTask(const ProxySettings &settings,
        const EdgeProtocol &protocol,
        std::uint64_t incarnation,
        const Clock &clock,
        Random &random,
        MetricsRegistry &metrics,
        PeerLinks &links,
        PlatformClient &platform,
        WorkspaceQuotas *quotas,
        FreshnessLease *freshness,
        RolloutTask *rollouts,
        EventHandler onEvent);
    ~RequestTask();

    /// Opens the callers' listener. Fails with ListenFailed.
    Result<Done> tryListen(const SocketAddress &address);
    SocketAddress address() const;
    /// Requests that have not arrived whole count against \a ingress.
    void shareIngress(SharedIngress &ingress);

    void post(RequestTaskMessage message);

private:
    struct CallInProgress;

    void handle(const ViewChanged &change);
    void handle(const UpstreamGone &gone);
    void handle(const ReadinessChanged &change);
    void handle(const PeerLinkEstablished &established);
    void handle(const PeerFrameReceived &received);
    void handle(const PeerConnectionClosed &closed);
    void handle(const UpstreamAnnouncement &announcement);
    void handle(const UpstreamSilent &silent);
    void handle(const DrainStarted &drain);
    void handle(const SuspectLearned &learned);
    void handle(const PlatformRestored &restored);
    void handle(const PlatformReply &reply);
    void handle(const StatusWanted &wanted);
    void handle(const CallerLimitsChanged &change);
    void handle(const ProxyCountChanged &change);
    void handle(const RetriesChanged &change);
    void handle(const QuotaDecided &decided);

    void handleCallers(HttpServerEvent event);
    void startCall(HttpRequest request);
    /// Runs the request once its workspace has room for it.
    void admit(CallerRequest request);
    void decide(std::uint64_t token, const AllowanceVerdict &verdict);
    Result<std::shared_ptr<const Route>> tryResolve(const Call &call);
    bool mayTake(const Call &call, const RouteRules &rules) const;
    void receiveRequest(const PeerFrameReceived &received, const RequestFrame &frame);
    void refuseCall(std::uint64_t token, const Error &error, std::optional<Duration> retryAfter = {});
    void finishCall(CallerAnswer answer);
    void handleUpstream(UpstreamClientEvent event);
    void confirmCrash();

    void run(std::vector<CoordinatorOutput> outputs);
    void run(std::vector<GateOutput> outputs);
    void run(std::vector<ClaimOutput> outputs);
    void run(const std::vector<SendPart> &parts);
    void sendAnswer(SendAnswer &answer);
    void runDue();
    void finishTurn();
    void updateGauges();

    const ProxySettings &m_settings;
    const EdgeProtocol &m_protocol;
    const Clock &m_clock;
    MetricsRegistry &m_metrics;
    PeerLinks &m_links;
    PlatformClient &m_platform;
    /// nullptr where quotas are not kept.
    WorkspaceQuotas *m_quotas;
    /// nullptr where revocation is not strict.
    FreshnessLease *m_freshness;
    /// nullptr where roll-outs are not carried out.
    RolloutTask *m_rollouts;
    EventHandler m_onEvent;

    View::Pointer m_view = View::empty();
    bool m_isReady = false;
    bool m_isDrainReported = false;
    WeightedSplit m_split;
    std::optional<UpstreamAnnouncement> m_upstream;
    bool m_isCrashCheckRunning = false;
    /// Runs that may have ended in a crash, until it is known whether the upstream still listens.
    std::vector<UpstreamFailed> m_unconfirmedFailures;

    RoutingState m_routing;
    UpstreamSelector m_selector;
    RequestCoordinator m_coordinator;
    UpstreamGate m_gate;
    AnswerTransfers m_transfers;
    TransitDelays m_transitDelays;
    ClaimLedger m_ledger;
    DrainAdmission m_drain;
    bool m_isGateDrained = false;

    UpstreamClient m_upstreamClient;
    HttpServer m_callers;
    std::unordered_map<std::uint64_t, CallInProgress> m_calls;
    /// Requests that wait for a token of their quota.
    std::unordered_map<std::uint64_t, CallerRequest> m_awaitingQuota;
    Timer m_timer;
    Mailbox<RequestTaskMessage> m_mailbox;
};

} // namespace Fuchsiastep

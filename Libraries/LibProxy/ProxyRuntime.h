#pragma once

#include <LibProxy/ConfigurationTask.h>
#include <LibProxy/FleetTask.h>
#include <LibProxy/MembershipTask.h>
#include <LibProxy/OperatorTask.h>
#include <LibProxy/PeerLinks.h>
#include <LibProxy/ProxySettings.h>
#include <LibProxy/RequestTask.h>
#include <LibProxy/RolloutTask.h>

#include <functional>
#include <memory>
#include <optional>

namespace Fuchsiastep {

/// Where a running proxy listens.
struct ProxyAddresses
{
    SocketAddress callers;
    SocketAddress control;
    SocketAddress peers;
};

/// One proxy: it makes the tasks, carries messages between them, and runs on the default main context of GLib.
class ProxyRuntime
{
public:
    /// \a onStopped is called once, when a drain is complete or took too long.
    ProxyRuntime(ProxySettings settings, EdgeProtocol protocol, std::function<void()> onStopped);
    ~ProxyRuntime();

    /// Opens every listener and joins the fleet. Fails with ListenFailed.
    Result<ProxyAddresses> tryStart();

    /// Takes over the log level and the retry budget; other changes take effect at the next start.
    void reload(const ProxySettings &settings);

    /// Refuses new work, finishes what runs, leaves the fleet and stops.
    void drain();

private:
    void handlePlatform(const PlatformRestored &restored);
    void handlePeers(PeerLinksEvent event);
    void handleRequests(const RequestTaskEvent &event);
    void handleMembership(MembershipTaskEvent event);
    void handleConfiguration(const ConfigurationTaskEvent &event);
    void handleOperators(OperatorTaskEvent event);

    /// Asks the platform where the lease of freshness is about to end.
    void checkFreshness();
    void endJoining();
    void tellReadiness();
    void announce(const UpstreamAnnouncement &announcement);
    void publishOwnRecord();
    void collectStatus(const OperatorReplyHandler &reply);
    void leave();
    Result<SocketAddress> tryListenPeers();

    ProxySettings m_settings;
    EdgeProtocol m_protocol;
    std::function<void()> m_onStopped;
    Clock m_clock = Clock::system();
    Random m_random = Random::fromSystem();
    MetricsRegistry m_metrics;
    TimePoint m_startedAt;
    std::uint64_t m_incarnation;
    bool m_isReady = false;
    /// The members are known, or there are none to learn from.
    bool m_hasJoined = false;
    bool m_isDraining = false;
    bool m_hasLeft = false;
    /// What membership was told about the upstream beside this proxy.
    std::optional<Endpoint> m_endpoint;
    std::optional<UpstreamAnnouncement> m_lastAnnouncement;

    /// Outlives the tasks with HTTP servers.
    SharedIngress m_ingress;
    std::unique_ptr<PlatformClient> m_platform;
    std::unique_ptr<PeerLinks> m_links;
    std::unique_ptr<MembershipTask> m_membership;
    /// Nothing where roll-outs are not carried out.
    std::unique_ptr<RolloutTask> m_rollouts;
    /// Nothing where revocation is not strict.
    std::unique_ptr<FreshnessLease> m_freshness;
    std::uint32_t m_freshnessChecks = 0;
    /// Nothing where quotas are not kept.
    std::unique_ptr<WorkspaceQuotas> m_quotas;
    std::unique_ptr<FleetTask> m_fleet;
    std::unique_ptr<ConfigurationTask> m_configuration;
    std::unique_ptr<RequestTask> m_requests;
    std::unique_ptr<OperatorTask> m_operators;
    Timer m_drainTimer;
    Timer m_joinTimer;
    Timer m_freshnessTimer;
    Timer m_idleTimer;
};

} // namespace Fuchsiastep

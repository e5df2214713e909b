#pragma once

#include <LibMembership/LibMembership.h>
#include <LibPlatform/LibPlatform.h>
#include <LibProxy/Mailbox.h>
#include <LibProxy/PeerLinks.h>
#include <LibProxy/ProxySettings.h>
#include <LibProxy/StatusWanted.h>
#include <LibProxy/Timer.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// The answer to a call of the CrashSuspectStore.
struct CrashSuspectStoreReply
{
    PlatformReply reply;
};

/// The answer to a call of the DepartureStore.
struct DepartureStoreReply
{
    PlatformReply reply;
};

using MembershipTaskMessage = std::variant<PeerFrame,
    PlatformReply,
    PlatformRestored,
    CrashSuspectStoreReply,
    DepartureStoreReply,
    DepartureHistoryWanted,
    HeldVersionChanged,
    OwnRecordChanged,
    UpstreamDeparted,
    LeaveRequested,
    CrashSuspectRecorded,
    CrashObserved,
    VersionUnacknowledged,
    StatusWanted>;

/// Upstreams that came, changed or went.
struct EndpointsChanged
{
    std::vector<Endpoint> stored;
    std::vector<std::string> removedUpstreamIds;
};

using MembershipTaskEvent = std::variant<EndpointsChanged,
    MemberChange,
    PeerVersion,
    CrashSuspectLearned,
    FreezeDetected,
    DepartureHeld,
    DepartureLearned,
    DepartureHistoryKnown,
    JoinCompleted>;

/// Knows the live members: it owns the probe socket, the failure detector, the contacts in the platform's table and
/// the exchange with other data centres.
class MembershipTask
{
public:
    using EventHandler = std::function<void(MembershipTaskEvent event)>;

    MembershipTask(const ProxySettings &settings,
        const MemberRecord &self,
        const Clock &clock,
        Random &random,
        MetricsRegistry &metrics,
        PeerLinks &links,
        PlatformClient &platform,
        EventHandler onEvent);
    ~MembershipTask();

    /// Opens the probe socket. Fails with ListenFailed.
    Result<Done> tryBind(const SocketAddress &address);
    /// Starts to join.
    void start();

    void post(MembershipTaskMessage message);

    /// Read by the distribution of configurations, which runs on the same main context.
    const MembershipTable &table() const
    {
        return m_table;
    }

private:
    void handle(const PeerFrame &frame);
    void handle(const PlatformReply &reply);
    void handle(const HeldVersionChanged &change);
    void handle(const OwnRecordChanged &change);
    void handle(const UpstreamDeparted &departure);
    void handle(const DepartureHistoryWanted &wanted);
    void handle(const DepartureStoreReply &answer);
    void handle(const LeaveRequested &request);
    void handle(const CrashSuspectRecorded &record);
    void handle(const CrashObserved &observed);
    void handle(const PlatformRestored &restored);
    void handle(const CrashSuspectStoreReply &answer);
    void handle(const VersionUnacknowledged &unacknowledged);
    void handle(const StatusWanted &wanted);

    void receive(const SocketAddress &sender, std::string_view content);
    void run(std::vector<FailureDetectorOutput> outputs);
    void run(std::vector<ContactKeeperOutput> outputs);
    void run(std::vector<RemoteSyncOutput> outputs);
    void run(std::vector<CrashSuspectSyncOutput> outputs);
    void run(std::vector<CrashSuspectStoreOutput> outputs);
    void run(std::vector<DepartureStoreOutput> outputs);
    void sendProbe(const SendProbe &probe);
    void sendFrame(const SendFrame &send);
    void noteChange(const MemberChange &change);
    void logChange(const MemberChange &change) const;
    void runDue();
    void finishTurn();

    const ProxySettings &m_settings;
    MetricsRegistry &m_metrics;
    PeerLinks &m_links;
    PlatformClient &m_platform;
    EventHandler m_onEvent;

    MembershipTable m_table;
    FailureDetector m_detector;
    ContactKeeper m_contacts;
    RemoteSync m_remotes;
    CrashSuspectSync m_suspectSync;
    CrashSuspectStore m_suspectStore;
    DepartureStore m_departureStore;
    /// Upstreams that changed in this turn; nothing for one that went.
    std::map<std::string, std::optional<Endpoint>> m_changes;
    std::map<std::string, ConfigurationVersion> m_peerVersions;

    std::unique_ptr<DatagramSocket> m_socket;
    Timer m_timer;
    Mailbox<MembershipTaskMessage> m_mailbox;
};

} // namespace Fuchsiastep

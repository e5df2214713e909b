#pragma once

#include <LibConfiguration/LibConfiguration.h>
#include <LibMembership/LibMembership.h>
#include <LibPlatform/LibPlatform.h>
#include <LibProxy/Mailbox.h>
#include <LibProxy/MembershipTask.h>
#include <LibProxy/OperatorMessages.h>
#include <LibProxy/PeerLinks.h>
#include <LibProxy/ProxySettings.h>
#include <LibProxy/RequestTask.h>
#include <LibProxy/StatusWanted.h>
#include <LibProxy/Timer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

namespace Fuchsiastep {

/// The answer to a call that this task made, and who waits for it.
struct PlatformAnswered
{
    std::function<void(const PlatformResponse &response)> receive;
    PlatformResponse response;
};

/// A connection to or from a peer closed.
struct PeerLost
{
    std::string proxyId;
};

/// Somebody has to know whether the version held is still the newest.
struct ConfirmationWanted
{ };

using ConfigurationTaskMessage = std::variant<PeerFrame,
    ConfirmationWanted,
    PeerLost,
    PeerVersion,
    MemberChange,
    EndpointsChanged,
    FreezeDetected,
    PlatformRestored,
    JoinEnded,
    PlatformAnswered,
    ChangeSubmitted,
    ObjectsWanted,
    AuditWanted,
    RoutesWanted,
    StatusWanted>;

/// The proxy holds this version now.
struct VersionHeld
{
    VersionStamp held;
};

/// The version was the newest one in the platform at this moment, on the clock that counts suspensions.
struct NewestVersionConfirmed
{
    ConfigurationVersion version = 0;
    std::uint64_t knownAtMs = 0;
};

using ConfigurationTaskEvent = std::variant<NewestVersionConfirmed,
    ViewChanged,
    UpstreamGone,
    ReadinessChanged,
    VersionHeld,
    ConfigurationAdopted,
    VersionUnacknowledged,
    CallerLimitsChanged>;

/// Keeps the view current: it owns the configuration in force, the reader of the platform, the distribution between
/// proxies, the gate that keeps a new proxy from serving too early, and the operators' changes in progress.
class ConfigurationTask
{
public:
    using EventHandler = std::function<void(ConfigurationTaskEvent event)>;

    /// \a protocol outlives the task.
    ConfigurationTask(const ProxySettings &settings,
        const EdgeProtocol &protocol,
        const MembershipTable &table,
        const Clock &clock,
        Random &random,
        MetricsRegistry &metrics,
        PeerLinks &links,
        PlatformClient &platform,
        EventHandler onEvent);
    ~ConfigurationTask();

    /// Starts to look for the newest version.
    void start();

    void post(ConfigurationTaskMessage message);

private:
    struct ChangeInProgress;

    void handle(const PeerFrame &frame);
    void handle(const PeerVersion &version);
    void handle(const PeerLost &lost);
    void handle(const ConfirmationWanted &wanted);
    void handle(const MemberChange &change);
    void handle(const EndpointsChanged &change);
    void handle(const FreezeDetected &freeze);
    void handle(const PlatformRestored &restored);
    void handle(const JoinEnded &ended);
    void handle(const PlatformAnswered &answered);
    void handle(const ChangeSubmitted &submitted);
    void handle(const ObjectsWanted &wanted);
    void handle(const AuditWanted &wanted);
    void handle(const RoutesWanted &wanted);
    void handle(const StatusWanted &wanted);

    void run(std::vector<DistributorOutput> outputs);
    void run(std::vector<ConfigurationReaderOutput> outputs);
    void run(std::vector<StartupGateOutput> outputs);
    void run(std::vector<DocumentReaderOutput> outputs);
    void adoptDocument(const DocumentFound &found);
    void confirmDocument(const DocumentConfirmed &confirmed);
    /// The content of the version held was read from the platform.
    void compareContent(const std::vector<DeclaredObject> &objects);
    void reportDiverged(const std::string &source, const Digest &digest);
    void reportBehind(ConfigurationVersion found, std::uint64_t revision);
    void reportLimitedFields(const ConfigurationDocument &document);
    void adoptObjects(const std::vector<DeclaredObject> &objects, ConfigurationVersion version);
    void run(std::uint64_t changeId, std::vector<ChangeCommitterOutput> outputs);

    void countServices(const EndpointsChanged &change);
    void adopt(const Configuration::Pointer &configuration);
    void changeView(View::Pointer view);
    void readHead();
    void setPlatformReadable(bool isReadable);
    void updateReaderRole();
    void finishChange(std::uint64_t changeId, const OperatorReply &reply);
    void nudgeReaders(ConfigurationVersion version);
    void callPlatform(PlatformRequest request, std::function<void(const PlatformResponse &response)> receive);
    void sendFrame(const std::string &peer, const Frame &frame);
    void runDue();
    void finishTurn();

    const ProxySettings &m_settings;
    const EdgeProtocol &m_protocol;
    const MembershipTable &m_table;
    const Clock &m_clock;
    Random &m_random;
    MetricsRegistry &m_metrics;
    PeerLinks &m_links;
    PlatformClient &m_platform;
    EventHandler m_onEvent;

    ConfigurationHolder m_holder;
    View::Pointer m_view = View::empty();
    /// Live upstreams of each service.
    std::map<std::string, std::size_t> m_serviceSizes;
    Distributor m_distributor;
    ConfigurationReader m_reader;
    /// Set where operators write one document instead of changes through the proxies; the reader of changes is idle then.
    std::optional<DocumentReader> m_documents;
    StartupGate m_gate;
    ReaderRole m_role;
    std::uint64_t m_roleRevision = 0;
    bool m_isPlatformReadable = true;
    /// From the last document that was read; nothing before the first.
    std::optional<HttpServerLimits> m_callerLimits;
    /// Version of the newest usable document that was read in this era of the platform.
    ConfigurationVersion m_documentVersion = 0;
    std::int64_t m_adoptedUnixMs = 0;
    ConfigurationVersion m_highestVersionSeen = 0;
    /// Where the configuration that is handled now comes from, for the log. The revision is 0 where a peer sent it.
    std::string m_configurationSource;
    std::uint64_t m_sourceRevision = 0;
    /// When the platform is asked again which content of the version held is right.
    TimePoint m_nextDivergenceRead;
    /// The last older version of the platform that was reported, with the version held and the era.
    std::tuple<ConfigurationVersion, ConfigurationVersion, PlatformEra> m_reportedBehind;

    std::uint64_t m_nextChangeId = 1;
    std::map<std::uint64_t, std::unique_ptr<ChangeInProgress>> m_changes;

    Timer m_timer;
    Mailbox<ConfigurationTaskMessage> m_mailbox;
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/LibCore.h>
#include <LibFleet/AllowanceSettings.h>
#include <LibRollout/RolloutController.h>
#include <LibRouting/RetryBudgets.h>
#include <LibWire/FrameCodec.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Where the proxy listens. Port 0 lets the kernel choose.
struct ListenSettings
{
    SocketAddress callers;
    /// Operators, upstream announcements, metrics and readiness.
    SocketAddress control;
    /// Further addresses for the same; nothing for none.
    std::optional<SocketAddress> readiness;
    std::optional<SocketAddress> metrics;
    /// Frames over TCP and probes over UDP, on the same port number.
    SocketAddress peers;
};

struct PlatformSettings
{
    std::string url;
    Duration timeout = std::chrono::seconds(1);
};

/// Which protocol callers, the upstream and the platform speak.
enum class EdgeKind {
    /// The project's own, as docs/interfaces.md describes it.
    Native,
    /// That of the users' platform, through the adapter in platform/.
    Platform,
};

/// The upstream that the proxy stands beside.
struct UpstreamSettings
{
    /// The only address that announcements may name; nothing where they may name any.
    std::optional<SocketAddress> address;
    /// The service on this instance; empty where callers name themselves.
    std::string service;
    /// Time between two of its announcements.
    Duration heartbeat = std::chrono::seconds(1);

    /// Without an announcement for this long the upstream counts as gone. Announcements may be late by some intervals.
    Duration silence() const
    {
        constexpr int MissedHeartbeats = 3;
        return heartbeat * MissedHeartbeats;
    }
};

struct DistributionSettings
{
    /// How long a reader collects changes before it distributes them together: trades convergence time for control bytes.
    Duration batchWindow = std::chrono::milliseconds(50);
    Duration readerPollInterval = std::chrono::milliseconds(500);
    std::uint32_t readersPerDataCentre = 3;
    std::uint32_t fanOut = 8;
};

struct PlacementSettings
{
    /// Upstreams that are compared for a request; 0 for all.
    std::uint32_t sampleSize = 0;
};

struct MembershipSettings
{
    Duration probeInterval = std::chrono::seconds(1);
    Duration probeTimeout = std::chrono::milliseconds(300);
};

struct LimitSettings
{
    std::uint64_t requestBodyBytes = 1024 * 1024;
    std::uint64_t answerBodyBytes = 16 * 1024 * 1024;
    /// Bytes that each of these may keep: answers that the upstream is writing, answers on their way to other proxies,
    /// requests and answers of own callers, and answers that own callers have not read.
    std::uint64_t bufferBytes = 64ULL * 1024 * 1024;
    /// Bytes of requests that have not arrived whole, on all ports of the proxy together.
    std::uint64_t unfinishedRequestBytes = 64ULL * 1024 * 1024;
    /// Connections that callers may open, and as many that operators, the upstream and monitoring may.
    std::uint32_t clientConnections = 100'000;
    std::uint32_t requestsInFlight = 1024;
    std::uint32_t queuePerSlot = 4;
    Duration queueTime = std::chrono::milliseconds(500);
    /// How long a drain waits for requests in flight.
    Duration drainTime = std::chrono::seconds(30);
    /// How long a draining proxy goes on taking calls, so that its callers have time to go elsewhere.
    Duration lingerTime {0};

    /// Room for the path and the header fields of a request beside its body in one frame.
    std::uint64_t requestHeadBytes() const
    {
        constexpr std::uint64_t ReservedBytes = 16ULL * 1024;
        return MaximumFrameBytes - ReservedBytes - requestBodyBytes;
    }

    /// The buffers of a process that may use \a memoryBytes. All four together are a third of it, since a body exists more
    /// than once while it grows or is passed on, and the rest of the process has to fit as well.
    static std::uint64_t bufferBytesWithin(std::uint64_t memoryBytes)
    {
        constexpr std::uint64_t ShareOfMemory = 12;
        return memoryBytes / ShareOfMemory;
    }

    /// The same for requests that have not arrived whole.
    static std::uint64_t unfinishedBytesWithin(std::uint64_t memoryBytes)
    {
        constexpr std::uint64_t ShareOfMemory = 5;
        return memoryBytes / ShareOfMemory;
    }

    /// The connections of callers in a process that may open \a descriptors. The rest is for the proxy's own connections, so that
    /// callers cannot cut it off from the platform and from other proxies.
    static std::uint32_t connectionsWithin(std::uint32_t descriptors)
    {
        constexpr std::uint32_t ShareOfDescriptors = 3;
        return std::max(1U, descriptors / ShareOfDescriptors);
    }

    /// The drain time of a process that is killed \a grace after it was told to end: what is left hands over the last
    /// answers and takes leave of the fleet.
    static Duration drainTimeWithin(Duration grace)
    {
        constexpr Duration LongestEnd = std::chrono::milliseconds(700);
        constexpr int ShareOfGrace = 6;
        return grace - std::min(LongestEnd, grace / ShareOfGrace);
    }
};

/// What holds for workspaces, their keys and their quotas.
struct WorkspaceSettings
{
    /// A request that is sent later than revocationTime after a version took its key away never runs.
    bool isRevocationStrict = false;
    Duration revocationTime = std::chrono::seconds(5);
    AllowanceSettings quota;
};

/// The settings file of fuchsiastepd.
struct ProxySettings
{
    std::string proxyId;
    std::string dataCentre;
    std::string region;
    /// Bandwidth of the instance's link; 0 where it is not known. Instances with slow links take fewer roles.
    std::uint32_t linkMbps = 0;
    ListenSettings listen;
    PlatformSettings platform;
    EdgeKind edge = EdgeKind::Native;
    UpstreamSettings upstream;
    /// Nothing for a budget of each proxy by itself.
    std::optional<RetryBudgets::FleetBudget> retries;
    /// Nothing where keys and quotas of workspaces are not kept.
    std::optional<WorkspaceSettings> workspaces;
    /// Nothing where roll-outs are not carried out.
    std::optional<RolloutSettings> rollouts;
    /// Every data centre of the deployment; empty where they are not told.
    std::vector<std::string> dataCentres;
    /// Peers to ask when the platform cannot name contacts.
    std::vector<SocketAddress> seeds;
    DistributionSettings distribution;
    MembershipSettings membership;
    PlacementSettings placement;
    LimitSettings limits;
    LogLevel logLevel = LogLevel::Info;
    LogOutput logOutput = LogOutput::StandardError;

    /// Reads and checks a whole settings text. On failure \a errors names each wrong field by its path.
    static Result<ProxySettings> tryParse(std::string_view text, std::vector<Error> &errors);
    /// Reads the file first. Fails with SettingsUnreadable, SettingsMalformed or the first error of \a errors.
    static Result<ProxySettings> tryLoad(const std::string &path, std::vector<Error> &errors);
};

} // namespace Fuchsiastep

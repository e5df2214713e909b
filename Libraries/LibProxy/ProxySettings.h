#pragma once

#include <LibCore/LibCore.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Where the proxy listens. Port 0 lets the kernel choose.
struct ListenSettings
{
    SocketAddress callers;
    /// Operators, upstream announcements, metrics and readiness.
    SocketAddress control;
    /// Frames over TCP and probes over UDP, on the same port number.
    SocketAddress peers;
};

struct PlatformSettings
{
    std::string url;
    Duration timeout = std::chrono::seconds(1);
};

struct DistributionSettings
{
    /// How long a reader collects changes before it distributes them together: trades convergence time for control bytes.
    Duration batchWindow = std::chrono::milliseconds(50);
    Duration readerPollInterval = std::chrono::milliseconds(500);
    std::uint32_t readersPerDataCentre = 3;
    std::uint32_t fanOut = 8;
};

struct MembershipSettings
{
    Duration probeInterval = std::chrono::seconds(1);
    Duration probeTimeout = std::chrono::milliseconds(300);
};

struct LimitSettings
{
    std::uint64_t requestBodyBytes = 768 * 1024;
    std::uint64_t answerBodyBytes = 16 * 1024 * 1024;
    std::uint32_t requestsInFlight = 1024;
    std::uint32_t queuePerSlot = 4;
    Duration queueTime = std::chrono::milliseconds(500);
    /// How long a drain waits for requests in flight.
    Duration drainTime = std::chrono::seconds(30);
};

/// The settings file of fuchsiastepd.
struct ProxySettings
{
    std::string proxyId;
    std::string dataCentre;
    std::string region;
    ListenSettings listen;
    PlatformSettings platform;
    /// Peers to ask when the platform cannot name contacts.
    std::vector<SocketAddress> seeds;
    DistributionSettings distribution;
    MembershipSettings membership;
    LimitSettings limits;
    LogLevel logLevel = LogLevel::Info;

    /// Reads and checks a whole settings text. On failure \a errors names each wrong field by its path.
    static Result<ProxySettings> tryParse(std::string_view text, std::vector<Error> &errors);
    /// Reads the file first. Fails with SettingsUnreadable, SettingsMalformed or the first error of \a errors.
    static Result<ProxySettings> tryLoad(const std::string &path, std::vector<Error> &errors);
};

} // namespace Fuchsiastep

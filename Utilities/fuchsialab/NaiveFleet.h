#pragma once

#include <LibLab/LibLab.h>
#include <LibPlatform/LibPlatform.h>

#include <optional>

namespace Fuchsiastep {

/// A platform and one naive poller for each proxy. The lab itself writes the configuration.
class NaiveFleet
{
public:
    NaiveFleet(std::string programFolder, std::size_t pollers);

    Result<Done> tryStart();
    /// Kills the pollers and starts them again.
    Result<Done> tryRestartPollers();
    /// Writes one object and the next version; returns when that was committed, in milliseconds since the Unix
    /// epoch. Fails with PlatformUnavailable.
    Result<std::int64_t> tryCommit(const std::string &object);
    /// Waits until each poller adopted the newest version; returns when the last one did. Fails with WaitTimeout.
    Result<std::int64_t> tryAwaitAdoption();
    std::map<std::string, std::uint64_t> counters();

private:
    std::string logOf(std::size_t poller) const;

    std::string m_programFolder;
    TemporaryFolder m_folder;
    LabHttp m_http;
    std::unique_ptr<LabProcess> m_platform;
    SocketAddress m_address;
    std::unique_ptr<PlatformClient> m_client;
    std::vector<std::unique_ptr<LabProcess>> m_pollers;
    /// Starts of the pollers, each with log files of its own.
    std::uint32_t m_generation = 0;
    std::uint64_t m_version = 0;
};

} // namespace Fuchsiastep

#pragma once

#include <LibLab/DeploymentPlan.h>
#include <LibLab/FleetOptions.h>
#include <LibLab/Instance.h>
#include <LibLab/PlatformLink.h>
#include <LibLab/TemporaryFolder.h>

#include <functional>

namespace Fuchsiastep {

/// A deployment as processes on this machine: the platform stand-in, and for each instance a proxy and an
/// emulated upstream. Every process ends with this object.
class Fleet
{
public:
    using Indices = std::vector<std::size_t>;

    Fleet(DeploymentPlan plan, FleetOptions options);

    /// Starts everything and waits until all processes listen; FleetClient waits until the proxies are ready.
    /// Fails with FileUnreadable or ListenFailed.
    Result<Done> tryStart();

    std::size_t size() const
    {
        return m_instances.size();
    }
    Instance &at(std::size_t index)
    {
        return m_instances.at(index);
    }
    const Instance &at(std::size_t index) const
    {
        return m_instances.at(index);
    }
    Indices all() const;
    Indices inDataCentre(const std::string &dataCentre) const;
    /// Instances with an upstream of the service.
    Indices ofService(const std::string &service) const;
    Indices running() const;

    /// Start stopped processes again, the proxies at their old addresses.
    Result<Done> tryStartProxies(const Indices &indices);
    Result<Done> tryStartUpstreams(const Indices &indices);
    /// SIGTERM, SIGKILL, SIGSTOP or SIGCONT. After SIGKILL it waits for the ends.
    void signalProxies(const Indices &indices, int number);
    void signalUpstreams(const Indices &indices, int number);

    /// Link of a data centre; only with FleetOptions::hasLinks.
    PlatformLink &link(const std::string &dataCentre);
    const SocketAddress &platform() const
    {
        return m_platformAddress;
    }
    const DeploymentPlan &plan() const
    {
        return m_plan;
    }
    /// Where an upstream logs each run as "<unix ms> <key>".
    std::string runLogOf(std::size_t index) const;
    std::string programFolder() const
    {
        return m_options.programFolder;
    }

private:
    void makeInstances();
    std::string nextIp();
    Result<Done> tryStartPlatform();
    Result<Done> tryWaitUntilStarted(const Indices &indices, const std::function<LabProcess &(Instance &)> &processOf);
    void writeSettings(const Instance &instance) const;
    JsonValue seedsFor(const Instance &instance) const;
    std::vector<std::string> upstreamArguments(std::size_t index) const;

    DeploymentPlan m_plan;
    FleetOptions m_options;
    TemporaryFolder m_folder;
    std::uint32_t m_addressesUsed = 0;
    std::unique_ptr<LabProcess> m_platform;
    SocketAddress m_platformAddress;
    std::map<std::string, PlatformLink> m_links;
    std::vector<Instance> m_instances;
};

} // namespace Fuchsiastep

#include <LibLab/Fleet.h>

#include <LibLab/LabLoop.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <unistd.h>

namespace Fuchsiastep {

static constexpr Duration StartLimit = std::chrono::seconds(60);
static constexpr std::size_t SeedsPerProxy = 3;

Fleet::Fleet(DeploymentPlan plan, FleetOptions options) : m_plan(std::move(plan)), m_options(std::move(options))
{
    makeInstances();
}

/// Addresses in 127.0.0.0/8 that other fleets on this machine are unlikely to use.
std::string Fleet::nextIp()
{
    constexpr std::uint32_t FirstNet = 16;
    constexpr std::uint32_t Nets = 200;
    constexpr std::uint32_t HostsPerNet = 250;
    const std::uint32_t number = m_addressesUsed++;
    const std::uint32_t net = FirstNet + static_cast<std::uint32_t>(getpid()) % Nets;
    return "127." + std::to_string(net) + '.' + std::to_string(number / HostsPerNet) + '.' + std::to_string(1 + number % HostsPerNet);
}

void Fleet::makeInstances()
{
    const std::size_t count = m_options.proxies > 0 ? m_options.proxies : m_plan.upstreamCount();
    const auto add = [this, count](const std::string &name, std::optional<std::size_t> service) {
        if (m_instances.size() == count) {
            return;
        }
        Instance instance;
        instance.proxyId = "proxy-" + name;
        instance.dataCentre = m_plan.dataCentres.at(m_instances.size() % m_plan.dataCentres.size());
        instance.ip = nextIp();
        instance.service = service;
        instance.upstreamId = service ? name : "";
        m_instances.push_back(std::move(instance));
    };
    for (std::size_t service = 0; m_options.hasUpstreams && service < m_plan.services.size(); ++service) {
        for (std::uint32_t number = 1; number <= m_plan.services[service].upstreams; ++number) {
            add(m_plan.services[service].name + '-' + std::to_string(number), service);
        }
    }
    for (std::size_t number = m_instances.size() + 1; m_instances.size() < count; ++number) {
        add("bare-" + std::to_string(number), std::nullopt);
    }
}

Result<Done> Fleet::tryStartPlatform()
{
    Result<std::unique_ptr<LabProcess>> process = LabProcess::tryStart({m_options.programFolder + "/platform-stand-in",
        {"--listen=" + nextIp() + ":0", "--seed=" + std::to_string(m_options.seed), "--log-level=warning"},
        m_folder.pathOf("platform.log")});
    if (isError(process)) {
        return errorOf(process);
    }
    m_platform = valueOf(std::move(process));
    runLoopUntil([this] { return m_platform->isStarted(); }, StartLimit);
    const std::optional<SocketAddress> address = m_platform->addressOf("http");
    if (!address) {
        return Error {ErrorCode::ListenFailed, "platform-stand-in"};
    }
    m_platformAddress = *address;
    return Done {};
}

Result<Done> Fleet::tryStart()
{
    Result<Done> started = tryStartPlatform();
    for (const std::string &dataCentre : m_plan.dataCentres) {
        if (m_options.hasLinks && !isError(started)) {
            PlatformLink &link = m_links.try_emplace(dataCentre, m_options.programFolder, nextIp(), m_platformAddress).first->second;
            started = link.tryConnect();
        }
    }
    if (!isError(started)) {
        started = tryStartProxies(all());
    }
    return isError(started) ? started : tryStartUpstreams(all());
}

Fleet::Indices Fleet::all() const
{
    Indices indices(m_instances.size());
    for (std::size_t index = 0; index < indices.size(); ++index) {
        indices[index] = index;
    }
    return indices;
}

Fleet::Indices Fleet::inDataCentre(const std::string &dataCentre) const
{
    Indices indices = all();
    std::erase_if(indices, [&](std::size_t index) { return at(index).dataCentre != dataCentre; });
    return indices;
}

Fleet::Indices Fleet::ofService(const std::string &service) const
{
    Indices indices = all();
    std::erase_if(indices, [&](std::size_t index) { return !at(index).service || m_plan.services.at(*at(index).service).name != service; });
    return indices;
}

Fleet::Indices Fleet::running() const
{
    Indices indices = all();
    std::erase_if(indices, [&](std::size_t index) { return !at(index).isProxyRunning(); });
    return indices;
}

/// Proxies that were up before, first of the same data centre, as an operator would list them.
JsonValue Fleet::seedsFor(const Instance &instance) const
{
    JsonValue::Array seeds;
    for (const bool isSameDataCentre : {true, false}) {
        for (const Instance &other : m_instances) {
            const bool isWanted = (other.dataCentre == instance.dataCentre) == isSameDataCentre && other.peers.port != 0;
            if (isWanted && other.proxyId != instance.proxyId && seeds.size() < SeedsPerProxy) {
                seeds.emplace_back(other.peers.toString());
            }
        }
    }
    return seeds;
}

void Fleet::writeSettings(const Instance &instance) const
{
    const auto listen = [&instance](const SocketAddress &used) {
        return SocketAddress {instance.ip, used.port}.toString();
    };
    const auto link = m_links.find(instance.dataCentre);
    const SocketAddress &platform = link == m_links.end() ? m_platformAddress : link->second.address();
    const JsonValue settings = JsonValue::Object {
        {"proxy_id", instance.proxyId},
        {"data_centre", instance.dataCentre},
        {"region", m_plan.region},
        {"listen",
            JsonValue::Object {
                {"callers", listen(instance.callers)}, {"control", listen(instance.control)}, {"peers", listen(instance.peers)}}},
        {"platform", JsonValue::Object {{"url", "http://" + platform.toString()}}},
        {"seeds", seedsFor(instance)},
        {"distribution", m_plan.distribution},
        {"membership", m_plan.membership},
        {"limits", m_plan.limits},
    };
    std::ofstream(m_folder.pathOf(instance.proxyId + ".json")) << settings.toText(true);
}

Result<Done> Fleet::tryWaitUntilStarted(const Indices &indices, const std::function<LabProcess &(Instance &)> &processOf)
{
    const auto isStarted = [&](std::size_t index) {
        return processOf(at(index)).isStarted();
    };
    runLoopUntil([&] { return std::all_of(indices.begin(), indices.end(), isStarted); }, StartLimit);
    for (const std::size_t index : indices) {
        if (!processOf(at(index)).isStarted() || !processOf(at(index)).isRunning()) {
            return Error {ErrorCode::ListenFailed, at(index).proxyId + " or its upstream did not start"};
        }
    }
    return Done {};
}

Result<Done> Fleet::tryStartProxies(const Indices &indices)
{
    for (const std::size_t index : indices) {
        Instance &instance = at(index);
        writeSettings(instance);
        Result<std::unique_ptr<LabProcess>> process = LabProcess::tryStart({m_options.programFolder + "/fuchsiastepd",
            {"--settings", m_folder.pathOf(instance.proxyId + ".json")},
            m_folder.pathOf(instance.proxyId + ".log")});
        if (isError(process)) {
            return errorOf(process);
        }
        instance.proxy = valueOf(std::move(process));
    }
    Result<Done> started = tryWaitUntilStarted(indices, [](Instance &instance) -> LabProcess & { return *instance.proxy; });
    if (isError(started)) {
        return started;
    }
    for (const std::size_t index : indices) {
        Instance &instance = at(index);
        instance.callers = instance.proxy->addressOf("callers").value_or(SocketAddress {});
        instance.control = instance.proxy->addressOf("control").value_or(SocketAddress {});
        instance.peers = instance.proxy->addressOf("peers").value_or(SocketAddress {});
    }
    return Done {};
}

std::vector<std::string> Fleet::upstreamArguments(std::size_t index) const
{
    const Instance &instance = at(index);
    const ServicePlan &service = m_plan.services.at(*instance.service);
    std::string labels;
    for (const auto &[name, value] : service.labels) {
        labels.append(labels.empty() ? "" : ",").append(name).append("=").append(value);
    }
    return {
        "--listen=" + instance.ip + ":0",
        "--upstream-id=" + instance.upstreamId,
        "--service=" + service.name,
        "--labels=" + labels,
        "--slots=" + std::to_string(service.slots),
        "--connections=" + std::to_string(service.connections),
        "--service-time-ms=" + std::to_string(service.serviceTimeMs),
        "--cold-start-ms=" + std::to_string(service.coldStartMs),
        "--announce=http://" + instance.control.toString(),
        "--seed=" + std::to_string(m_options.seed + index),
        "--run-log=" + runLogOf(index),
    };
}

Result<Done> Fleet::tryStartUpstreams(const Indices &indices)
{
    Indices started;
    for (const std::size_t index : indices) {
        if (!at(index).service) {
            continue;
        }
        Result<std::unique_ptr<LabProcess>> process = LabProcess::tryStart(
            {m_options.programFolder + "/upstream-stand-in", upstreamArguments(index), m_folder.pathOf(at(index).upstreamId + ".log")});
        if (isError(process)) {
            return errorOf(process);
        }
        at(index).upstream = valueOf(std::move(process));
        started.push_back(index);
    }
    Result<Done> waited = tryWaitUntilStarted(started, [](Instance &instance) -> LabProcess & { return *instance.upstream; });
    for (const std::size_t index : started) {
        at(index).upstreamAddress = at(index).upstream->addressOf("http").value_or(SocketAddress {});
    }
    return waited;
}

/// All processes get the signal before the first one is waited for, so that they fail together.
static void signalTogether(const std::vector<LabProcess *> &processes, int number)
{
    for (LabProcess *process : processes) {
        process->signal(number);
    }
    for (LabProcess *process : processes) {
        if (number == SIGKILL) {
            process->kill();
        }
    }
}

void Fleet::signalProxies(const Indices &indices, int number)
{
    std::vector<LabProcess *> processes;
    for (const std::size_t index : indices) {
        if (at(index).isProxyRunning()) {
            processes.push_back(at(index).proxy.get());
        }
    }
    signalTogether(processes, number);
}

void Fleet::signalUpstreams(const Indices &indices, int number)
{
    std::vector<LabProcess *> processes;
    for (const std::size_t index : indices) {
        if (at(index).isUpstreamRunning()) {
            processes.push_back(at(index).upstream.get());
        }
    }
    signalTogether(processes, number);
}

PlatformLink &Fleet::link(const std::string &dataCentre)
{
    return m_links.at(dataCentre);
}

std::string Fleet::runLogOf(std::size_t index) const
{
    return m_folder.pathOf(at(index).upstreamId + ".runs");
}

} // namespace Fuchsiastep

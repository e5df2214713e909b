#pragma once

#include <LibLab/LabProcess.h>

namespace Fuchsiastep {

/// One emulated instance: a proxy, and the upstream beside it where it has one.
struct Instance
{
    std::string proxyId;
    std::string dataCentre;
    /// Its own loopback address, so that the ports of a stopped proxy are still free at its restart.
    std::string ip;
    /// Index of its service in the plan; nothing for a proxy without an upstream.
    std::optional<std::size_t> service;
    std::string upstreamId;

    std::unique_ptr<LabProcess> proxy;
    std::unique_ptr<LabProcess> upstream;
    /// Where the proxy listens; the same after a restart.
    SocketAddress callers;
    SocketAddress control;
    SocketAddress peers;
    /// Where the upstream takes requests; another one after each start.
    SocketAddress upstreamAddress;

    bool isProxyRunning() const
    {
        return proxy != nullptr && proxy->isRunning();
    }
    bool isUpstreamRunning() const
    {
        return upstream != nullptr && upstream->isRunning();
    }
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Labels.h>
#include <LibCore/SocketAddress.h>

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// One live upstream and the proxy beside it, as membership reports it.
struct Endpoint
{
    std::string upstreamId;
    std::string service;
    std::string proxyId;
    /// Distinguishes successive processes with the same proxy id.
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string region;
    /// Where the proxy beside the upstream takes frames.
    SocketAddress proxyAddress;
    /// Labels that the upstream announced.
    Labels labels;
    /// Requests that the upstream runs at once.
    std::uint32_t slots = 1;
    /// The endpoint takes no new work.
    bool isDraining = false;
    /// Time since the upstream started, when the endpoint was first seen; cold upstreams get a smaller share.
    std::uint32_t ageMsWhenSeen = 0;

    bool operator==(const Endpoint &) const = default;
};

} // namespace Fuchsiastep

#pragma once

#include <LibRequest/TransitDelay.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace Fuchsiastep {

/// The transit delays of the requests of each peer. They are kept across connections: on a new connection there is no
/// earlier frame to compare the first one with, and connections are opened again just when a peer is slow.
class TransitDelays
{
public:
    /// \a maximumPeers bounds the memory; the peer that was added first is forgotten first.
    explicit TransitDelays(std::size_t maximumPeers = 4096) : m_maximumPeers(maximumPeers)
    { }

    /// See TransitDelay::record(). Another incarnation of a peer has another clock.
    Duration record(const std::string &proxyId, std::uint64_t incarnation, std::uint64_t sentMs, std::uint64_t receivedMs);

private:
    struct Peer
    {
        std::uint64_t incarnation = 0;
        TransitDelay delay;
    };

    std::size_t m_maximumPeers;
    std::map<std::string, Peer> m_peers;
    std::deque<std::string> m_order;
};

} // namespace Fuchsiastep

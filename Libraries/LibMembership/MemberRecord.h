#pragma once

#include <LibConfiguration/Endpoint.h>
#include <LibCore/SocketAddress.h>
#include <LibMembership/DepartedUpstream.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Fuchsiastep {

enum class MemberState : std::uint8_t {
    /// Known, but does not serve yet.
    Joining = 0,
    Serving = 1,
    Draining = 2,
    Suspect = 3,
    Left = 4,
    Failed = 5,
};

/// What is known about one proxy. Of two records with the same id the higher incarnation wins, then the
/// higher sequence, then the state that is later in MemberState.
struct MemberRecord
{
    std::string proxyId;
    /// Wall-clock start of the process in milliseconds, raised further to refute a suspicion.
    std::uint64_t incarnation = 0;
    /// Raised by the member itself with each change of its record.
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Joining;
    /// TCP port for frames and UDP port for probes are the same number.
    SocketAddress address;
    std::string dataCentre;
    std::string region;
    /// The upstream beside the proxy, once it has announced itself.
    std::optional<Endpoint> endpoint;
    /// Where operators reach the proxy.
    SocketAddress controlAddress;
    /// Bandwidth of the instance's link in Mbit/s; 0 where it is not known.
    std::uint32_t linkMbps = 0;
    /// Outlasts the process: a record without it, or with an earlier one, does not remove it from the tables of others.
    std::optional<DepartedUpstream> departed;

    bool operator==(const MemberRecord &) const = default;
};

} // namespace Fuchsiastep

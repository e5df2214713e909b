#pragma once

#include <LibCore/SocketAddress.h>
#include <LibMembership/CrashSuspectEntry.h>
#include <LibMembership/MemberUpdate.h>
#include <LibMembership/VersionStamp.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// What every probe datagram carries beside its purpose.
struct ProbeCargo
{
    std::string senderId;
    /// The configuration that the sender holds.
    VersionStamp held;
    std::vector<MemberUpdate> updates;
    std::vector<CrashSuspectEntry> crashSuspects;

    bool operator==(const ProbeCargo &) const = default;
};

/// Asks the proxy with the id \a targetId for an Ack. Another proxy at the same address does not answer.
struct Ping
{
    ProbeCargo cargo;
    std::uint64_t sequence = 0;
    std::string targetId;

    bool operator==(const Ping &) const = default;
};

/// Asks the receiver to ping a third proxy and to pass its Ack on.
struct PingRequest
{
    ProbeCargo cargo;
    std::uint64_t sequence = 0;
    std::string targetId;
    SocketAddress target;

    bool operator==(const PingRequest &) const = default;
};

/// The proxy \a subjectId answered the Ping or PingRequest with this sequence.
struct Ack
{
    ProbeCargo cargo;
    std::uint64_t sequence = 0;
    std::string subjectId;

    bool operator==(const Ack &) const = default;
};

using ProbeDatagram = std::variant<Ping, PingRequest, Ack>;

} // namespace Fuchsiastep

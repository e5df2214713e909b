#pragma once

#include <LibCore/Error.h>
#include <LibCore/SocketAddress.h>
#include <LibMembership/CrashSuspectEntry.h>
#include <LibMembership/MemberChange.h>
#include <LibMembership/MergeCrashSuspects.h>
#include <LibMembership/MergeRecords.h>
#include <LibMembership/PeerVersion.h>
#include <LibMembership/ProbeDatagram.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// A probe arrived from \a sender.
struct ReceivedProbe
{
    SocketAddress sender;
    ProbeDatagram datagram;
};

/// The configuration that this proxy holds, for its probes.
struct HeldVersionChanged
{
    VersionStamp held;
};

/// The proxy changes its own record: joining, serving or draining, and its upstream.
struct OwnRecordChanged
{
    MemberState state = MemberState::Serving;
    std::optional<Endpoint> endpoint;
};

/// The upstream beside this proxy leaves, and the proxy is about to acknowledge that.
struct UpstreamDeparted
{
    std::string upstreamId;
    /// Unix milliseconds of the start that leaves; nothing where it is not known.
    std::optional<std::int64_t> startedUnixMs;
    /// Where the start is not known, every start of the upstream up to this moment, in Unix milliseconds, leaves.
    std::int64_t latestStartUnixMs = 0;

    bool operator==(const UpstreamDeparted &) const = default;
};

/// The platform's row of this proxy names this departure.
struct StoredDeparture
{
    DepartedUpstream departed;
};

/// The proxy stops in an orderly way.
struct LeaveRequested
{ };

/// This proxy recorded a crash suspect.
struct CrashSuspectRecorded
{
    CrashSuspectEntry entry;
};

/// The platform or a proxy of another data centre answered, so that this proxy is not isolated.
struct OutsideReached
{ };

/// These members have to learn of the version held, and frames to them were not acknowledged.
struct VersionUnacknowledged
{
    std::vector<std::string> members;
};

using FailureDetectorInput = std::variant<ReceivedProbe,
    MergeRecords,
    MergeCrashSuspects,
    HeldVersionChanged,
    OwnRecordChanged,
    UpstreamDeparted,
    StoredDeparture,
    LeaveRequested,
    CrashSuspectRecorded,
    VersionUnacknowledged,
    OutsideReached>;

struct SendProbe
{
    SocketAddress receiver;
    ProbeDatagram datagram;
};

/// Another member recorded a crash suspect, or knows more about one.
struct CrashSuspectLearned
{
    CrashSuspectEntry entry;
};

/// Most peers disappeared at once; no member is removed until IsolationEnded.
struct IsolationSuspected
{
    std::size_t missed = 0;
    std::size_t probed = 0;
};

struct IsolationEnded
{ };

/// The process did not run for this long.
struct FreezeDetected
{
    Duration length {};
};

/// Enough other members have confirmed the last UpstreamDeparted, or there are no others.
struct DepartureHeld
{ };

/// An earlier process of this proxy acknowledged this departure; another member or the platform held it.
struct DepartureLearned
{
    DepartedUpstream departed;
};

/// This proxy knows which departure its earlier processes acknowledged: a member sent a record of one of them, or the
/// platform's row was read. A DepartureLearned comes before it.
struct DepartureHistoryKnown
{ };

/// The tombstone of a member of this data centre, whose record had a departure, has expired.
struct DepartureExpired
{
    std::string proxyId;
};

/// A change of the own record was refused. Its code is DatagramTooLong: the announced labels do not fit a probe.
struct OwnRecordRejected
{
    Error error;
};

using FailureDetectorOutput = std::variant<SendProbe,
    MemberChange,
    PeerVersion,
    CrashSuspectLearned,
    IsolationSuspected,
    IsolationEnded,
    FreezeDetected,
    DepartureHeld,
    DepartureLearned,
    DepartureHistoryKnown,
    DepartureExpired,
    OwnRecordRejected>;

} // namespace Fuchsiastep

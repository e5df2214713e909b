#pragma once

#include <LibCore/Clock.h>

#include <cstddef>

namespace Fuchsiastep {

struct DistributorSettings
{
    /// Parts that a range of the hash ring is split into.
    std::size_t fanOut = 8;
    /// The reader waits this long for further changes and distributes them together (distribution.batch_ms).
    Duration batchDelay {};
    /// Time for a delegate to acknowledge before its range goes to another member.
    Duration ackTimeout = std::chrono::milliseconds(300);
    /// Delegates tried for one range; anti-entropy repairs what is missed after that.
    std::size_t delegateAttempts = 4;
    /// Members of an unacknowledged range that receive the version in a probe, which needs no connection.
    std::size_t membersProbed = 32;
    /// Members that hold a version before the reader adopts it, where as many are live.
    std::size_t holdersBeforeAdoption = 2;
    /// An isolated reader adopts a version after this time without them.
    Duration holdTimeout = std::chrono::seconds(1);

    /// Longest wait before a pull, so that a push that is under way arrives first.
    Duration pullJitter = std::chrono::milliseconds(400);
    /// Time for a peer to answer a pull before another one is asked. It doubles with each timeout up to the cap.
    Duration pullTimeout = std::chrono::milliseconds(400);
    /// Also the longest time between two parts of a snapshot.
    Duration pullTimeoutCap = std::chrono::seconds(1);
    Duration pullBackoff = std::chrono::milliseconds(100);
    Duration pullBackoffCap = std::chrono::seconds(2);
    /// Time that a proxy which holds nothing has to read the platform before it asks peers for a snapshot, where the
    /// whole configuration can be read there; 0 for none. A snapshot also costs the link of the peer.
    Duration firstReadTime {0};
    /// Pulls by a proxy that holds nothing and has heard of no version.
    std::size_t firstPulls = 5;
    /// A version whose content was refused is not pulled again for this long.
    Duration refusalTime = std::chrono::seconds(30);
    /// Time between two pulls from another data centre by a reader that cannot read the platform.
    Duration remotePullPeriod = std::chrono::seconds(1);

    std::size_t snapshotsAtOnce = 2;
    std::size_t snapshotPartBytes = 512 * 1024;
    /// Time between two parts of a snapshot; it bounds the traffic and the memory of a serving proxy.
    Duration snapshotPartPeriod = std::chrono::milliseconds(20);
    /// A snapshot that is not acknowledged this long after its last part no longer counts.
    Duration snapshotTimeout = std::chrono::seconds(2);
    /// Longest wait that a deferred peer is told.
    Duration deferralLimit = std::chrono::seconds(1);
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>

#include <cstddef>

namespace Fuchsiastep {

struct FailureDetectorSettings
{
    /// Time between two direct probes.
    Duration probePeriod = std::chrono::seconds(1);
    /// Time for a direct Ack before indirect probes are sent. Must be shorter than probePeriod.
    Duration directTimeout = std::chrono::milliseconds(250);
    std::size_t indirectProbes = 3;
    /// Time between two rounds of gossip while there is news.
    Duration gossipPeriod = std::chrono::milliseconds(200);
    /// Members that each round of gossip goes to.
    std::size_t gossipFanOut = 2;
    /// News is passed on gossipFactor * log2(members) times. Of 50 members one misses it with a probability of 10^-7 at 4
    /// and 10^-5 at 3, when a leaving member stayed known to one of 50 for over 5 s.
    std::size_t gossipFactor = 4;
    /// A suspicion with enough accusers lasts suspicionUnit * log2(members).
    Duration suspicionUnit = std::chrono::milliseconds(500);
    /// A suspicion with one accuser lasts this many times longer.
    std::size_t longSuspicionFactor = 3;
    /// Accusers beside the first that shorten a suspicion to its shortest.
    std::size_t confirmationsForShortest = 3;
    /// advance() that comes this much later than due shows that the process was paused.
    Duration freezeThreshold = std::chrono::seconds(2);
    /// Members pinged at once to tell the own isolation from the failure of others.
    std::size_t isolationSample = 8;
    /// A loss of most peers that lasts this long is taken for real where others are still reachable.
    Duration isolationHold = std::chrono::seconds(30);
    /// How long an OutsideReached proves that this proxy is not isolated.
    Duration outsideFreshness = std::chrono::seconds(10);
    /// Members that must confirm a departure before it is acknowledged, or all of them where there are fewer. With two, one
    /// of them may fail together with this proxy.
    std::size_t departureHolders = 2;
    /// Time between two rounds of probes that hand a departure over.
    Duration departureRetry = std::chrono::milliseconds(100);
    /// Time after which such rounds end. Gossip goes on.
    Duration departureLimit = std::chrono::seconds(1);
    /// Time between two probes of a member that was removed, which find it again after a partition.
    Duration failedProbePeriod = std::chrono::seconds(5);
};

} // namespace Fuchsiastep

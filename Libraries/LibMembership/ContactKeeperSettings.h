#pragma once

#include <LibCore/Clock.h>
#include <LibCore/SocketAddress.h>

#include <cstddef>
#include <vector>

namespace Fuchsiastep {

struct ContactKeeperSettings
{
    /// Members asked in addition to the contacts in the table, or instead of them while the platform is down.
    std::vector<SocketAddress> seeds;
    /// Time between two refreshes of the own contact rows.
    Duration refreshPeriod = std::chrono::seconds(30);
    /// Time in which the members write their contact rows again after the platform came back from an older copy.
    Duration restoreSpread = std::chrono::seconds(1);
    /// Contacts that a joining member asks at once. Each answers with every record of the fleet, 3.5 MB at the target;
    /// with one alone, a restarted data centre waits for gossip to join the parts that its contacts know.
    std::size_t contactsAsked = 3;
    /// Time for a contact to answer.
    Duration answerTimeout = std::chrono::seconds(1);
    Duration firstBackoff = std::chrono::milliseconds(500);
    Duration backoffCap = std::chrono::seconds(30);
    /// A member asks another for all records after this time for each known member, and no sooner than refreshPeriod,
    /// so that the traffic of a member does not grow with the fleet.
    Duration resyncTimePerMember = std::chrono::milliseconds(100);
};

} // namespace Fuchsiastep

#pragma once

#include <LibFleet/LibFleet.h>
#include <LibProxy/Mailbox.h>
#include <LibProxy/PeerLinks.h>
#include <LibProxy/Timer.h>

#include <variant>
#include <vector>

namespace Fuchsiastep {

using FleetTaskMessage = std::variant<PeerFrame, FleetReportWanted>;

/// Carries the fleet exchange over the connections between proxies.
class FleetTask
{
public:
    FleetTask(FleetExchangeSettings settings, const MembershipTable &table, const Clock &clock, PeerLinks &links);

    /// For the owner, before the first message.
    void addTopic(FleetTopicHandlers handlers);
    /// Starts to report.
    void start();

    bool isCoordinator() const
    {
        return m_exchange.isCoordinator();
    }

    void post(FleetTaskMessage message);

private:
    void run(std::vector<FleetExchangeOutput> outputs);
    void finishTurn();

    const MembershipTable &m_table;
    PeerLinks &m_links;
    FleetExchange m_exchange;
    Timer m_timer;
    Mailbox<FleetTaskMessage> m_mailbox;
};

} // namespace Fuchsiastep

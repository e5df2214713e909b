#include <LibProxy/FleetTask.h>

namespace Fuchsiastep {

FleetTask::FleetTask(FleetExchangeSettings settings, const MembershipTable &table, const Clock &clock, PeerLinks &links)
    : m_table(table)
    , m_links(links)
    , m_exchange(settings, table, clock)
    , m_timer(clock,
          [this] {
              run(m_exchange.advance());
              finishTurn();
          })
    , m_mailbox([this](const FleetTaskMessage &message) {
        std::visit([this](const auto &content) { run(m_exchange.handle(content)); }, message);
        finishTurn();
    })
{ }

void FleetTask::addTopic(FleetTopicHandlers handlers)
{
    m_exchange.addTopic(std::move(handlers));
}

void FleetTask::start()
{
    finishTurn();
}

void FleetTask::post(FleetTaskMessage message)
{
    m_mailbox.post(std::move(message));
}

void FleetTask::run(std::vector<FleetExchangeOutput> outputs)
{
    for (FleetExchangeOutput &output : outputs) {
        std::visit(Overloaded {
                       [this](const SendFrame &send) {
                           const MemberRecord *peer = m_table.find(send.peer);
                           m_links.sendAnyWay(send.peer, peer != nullptr ? std::optional(peer->address) : std::nullopt, send.frame);
                       },
                       [](const FleetFrameRejected &rejected) {
                           logEvent(LogEvent::FleetFrameRejected, {{"peer", rejected.peer}, {"error", describe(rejected.error)}});
                       },
                   },
            output);
    }
}

void FleetTask::finishTurn()
{
    m_timer.setDeadline(m_exchange.nextDeadline());
}

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Error.h>
#include <LibFleet/FleetTopicHandlers.h>
#include <LibMembership/MembershipTable.h>
#include <LibMembership/PeerFrame.h>
#include <LibMembership/SendFrame.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// Role of the member that collects the reports of its data centre.
constexpr std::string_view CoordinatorRoleName = "coordinator";

struct FleetExchangeSettings
{
    Duration reportPeriod = std::chrono::milliseconds(500);
    /// Least time between two reports.
    Duration shortestPeriod = std::chrono::milliseconds(50);
    /// Time for a coordinator to answer; then the next member in the order is used.
    Duration replyTimeout = std::chrono::milliseconds(600);
    /// How long a coordinator that did not answer is passed over.
    Duration passOverTime = std::chrono::seconds(3);
};

/// Input: a topic has something that should not wait for the next period.
struct FleetReportWanted
{ };

using FleetExchangeInput = std::variant<PeerFrame, FleetReportWanted>;

/// Output: a report or reply could not be read and was dropped.
struct FleetFrameRejected
{
    std::string peer;
    Error error;
};

using FleetExchangeOutput = std::variant<SendFrame, FleetFrameRejected>;

/// Exchanges what the fleet knows together: each member reports to one coordinator in its data centre and gets a reply;
/// the coordinators of the data centres report to each other. So the messages grow with the number of members and not with
/// its square. Two members that both act as the coordinator do no harm here; topics have to bear it.
class FleetExchange
{
public:
    /// \a table and \a clock must outlive the object.
    FleetExchange(FleetExchangeSettings settings, const MembershipTable &table, const Clock &clock);

    void addTopic(FleetTopicHandlers handlers);

    std::vector<FleetExchangeOutput> handle(const FleetExchangeInput &input);
    std::vector<FleetExchangeOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

    /// This proxy is the coordinator of its data centre as far as it knows.
    bool isCoordinator() const;

private:
    /// One side of an exchange that this proxy drives.
    struct Link
    {
        TimePoint nextReport;
        TimePoint lastReport;
        std::string peer;
        std::uint64_t sequence = 0;
        std::uint64_t sentAtMs = 0;
        std::optional<TimePoint> unansweredSince;
    };

    void accept(const PeerFrame &frame);
    void accept(const FleetReportWanted &wanted);
    void acceptReport(const std::string &peer, const FleetReportFrame &frame);
    void acceptReply(const std::string &peer, const FleetReplyFrame &frame);
    bool isAnyTopicInUse() const;
    /// Empty where there is no member to ask.
    std::string coordinatorOf(const std::string &dataCentre) const;
    void update(const std::string &dataCentre, Link &link);
    void report(const std::string &dataCentre, Link &link);
    void reportToItself();
    std::string sectionsFor(const std::string &dataCentre) const;
    void passOver(Link &link);
    bool isOwn(const std::string &dataCentre) const;

    FleetExchangeSettings m_settings;
    const MembershipTable &m_table;
    const Clock &m_clock;
    std::vector<FleetTopicHandlers> m_topics;
    /// By data centre; the own one leads to the own coordinator.
    std::map<std::string, Link> m_links;
    /// Members that did not answer, until when they are passed over.
    std::map<std::string, TimePoint> m_passedOver;
    /// When it is looked again whether a topic is in use.
    TimePoint m_nextCheck;
    std::uint64_t m_nextSequence = 1;
    std::vector<FleetExchangeOutput> m_outputs;
};

} // namespace Fuchsiastep

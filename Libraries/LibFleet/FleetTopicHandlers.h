#pragma once

#include <LibFleet/FleetSection.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// The sender's knowledge when a report went out, by a clock that also counts suspensions. What a reply tells was true at
/// or after this moment, however long the reply was held up.
struct FleetReportTime
{
    std::uint64_t sentAtMs = 0;
};

/// How a topic takes part in the fleet exchange. Functions, because LibFleet must not depend on the topics. Each may be
/// left empty. An empty content is not sent.
struct FleetTopicHandlers
{
    FleetTopic topic = FleetTopic::Freshness;
    /// Whether there is anything to exchange. Nothing is sent while no topic is in use.
    std::function<bool()> isInUse;
    /// What this member tells the coordinator of its data centre.
    std::function<std::string()> report;
    /// As the coordinator: what the member \a memberId is answered, which may be this proxy itself. Called with an empty
    /// content for a report without this topic.
    std::function<std::string(const std::string &memberId, std::string_view content)> answer;
    /// What the coordinator answered to a report.
    std::function<void(FleetReportTime reported, std::string_view content)> acceptReply;
    /// As the coordinator: what the coordinator of another data centre is told.
    std::function<std::string(const std::string &dataCentre)> reportToDataCentre;
    std::function<std::string(const std::string &dataCentre, std::string_view content)> answerDataCentre;
    std::function<void(const std::string &dataCentre, FleetReportTime reported, std::string_view content)> acceptDataCentreReply;
};

} // namespace Fuchsiastep

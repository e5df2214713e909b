#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibMembership/DistributorMessages.h>
#include <LibMembership/DistributorSettings.h>
#include <LibMembership/RingRange.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Hands deltas to delegates, one for each part of a range, and gives a part to another delegate where one does not
/// acknowledge.
class RangeBroadcast
{
public:
    RangeBroadcast(const DistributorSettings &settings, const MembershipTable &table, const Clock &clock, Random &random);

    /// Distributes \a push over \a range. The range in \a push is ignored.
    std::vector<DistributorOutput> start(const ConfigurationPushFrame &push, const RingRange &range);
    void acknowledged(const std::string &peer, ConfigurationVersion version);
    /// Gives the ranges of a member that is no longer live to others.
    std::vector<DistributorOutput> lost(const std::string &peer);
    std::vector<DistributorOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

private:
    struct Assignment
    {
        ConfigurationPushFrame push;
        RingRange range;
        std::string delegate;
        std::set<std::string> tried;
        std::size_t attempts = 0;
        TimePoint deadline;
    };

    /// False where nobody is left to try.
    bool assign(Assignment &assignment);
    std::optional<std::string> chooseDelegate(const Assignment &assignment);
    void announceByProbe(const RingRange &range);

    const DistributorSettings &m_settings;
    const MembershipTable &m_table;
    const Clock &m_clock;
    Random &m_random;
    std::vector<Assignment> m_assignments;
    std::vector<DistributorOutput> m_outputs;
};

} // namespace Fuchsiastep

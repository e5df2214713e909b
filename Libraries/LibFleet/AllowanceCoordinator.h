#pragma once

#include <LibCore/Clock.h>
#include <LibFleet/AllowanceMessages.h>
#include <LibFleet/AllowanceSettings.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Grants the tokens of a data centre to its members. Every member can act as the coordinator at any time; one that acts
/// without the reports of the others grants only the part of those that report to it. It answers the load of a workspace
/// whose callers come through many members, or suddenly through others: tokens go where the requests are.
class AllowanceCoordinator
{
public:
    /// The quota of a workspace for the whole deployment; nothing where it has none.
    using FindLimit = std::function<std::optional<AllowanceLimit>(const std::string &workspace)>;

    AllowanceCoordinator(AllowanceSettings settings, FindLimit findLimit, const Clock &clock);

    /// \a memberCount: live members of the data centre, this one included.
    std::vector<AllowanceGrant> answer(const std::string &member, const std::vector<AllowanceDemand> &demands, std::size_t memberCount);

    /// What this data centre lacks. Other data centres may lend it.
    std::vector<AllowanceLoan> shortfalls();
    /// Takes the tokens that this data centre can spare out of its buckets.
    std::vector<AllowanceLoan> lend(const std::vector<AllowanceLoan> &wanted);
    void borrow(const std::vector<AllowanceLoan> &loans);

    /// Workspaces with recent demand.
    std::size_t size() const
    {
        return m_buckets.size();
    }

private:
    struct MemberDemand
    {
        double perSecond = 0;
        TimePoint reportedAt;
        /// Part of a token that the member has earned.
        double credit = 0;
    };
    struct Bucket
    {
        double level = 0;
        TimePoint refilledAt;
        /// Tokens that were wanted and not granted since the last shortfalls().
        double missing = 0;
        double demandPerSecond = 0;
        std::map<std::string, MemberDemand> members;
    };

    AllowanceLimit limitHere(const AllowanceLimit &limit) const;
    /// Part of the slack of a quota that this data centre uses.
    double slackHere() const;
    Bucket &bucketOf(const std::string &workspace, const AllowanceLimit &limit);
    void refill(Bucket &bucket, const AllowanceLimit &limit);
    AllowanceGrant grant(const std::string &member, const AllowanceDemand &demand, const AllowanceLimit &limit);
    /// Part of the members of the data centre that report here, from 0 to 1.
    double reportingShare() const;
    void forgetOld();

    AllowanceSettings m_settings;
    FindLimit m_findLimit;
    const Clock &m_clock;
    /// Since when members report here without a pause. Earlier tokens were another coordinator's to grant.
    std::optional<TimePoint> m_actingSince;
    TimePoint m_lastReport;
    std::size_t m_memberCount = 1;
    /// When each member reported last.
    std::map<std::string, TimePoint> m_reports;
    std::map<std::string, Bucket> m_buckets;
    TimePoint m_nextCleanup;
};

} // namespace Fuchsiastep

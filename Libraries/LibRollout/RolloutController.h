#pragma once

#include <LibCore/Clock.h>
#include <LibRollout/RolloutJudgement.h>
#include <LibRollout/RolloutState.h>
#include <LibRollout/RunRecorder.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

struct RolloutSettings
{
    /// Share of the requests that an unproven version may get over the time of its roll-out.
    double exposureShare = 0.1;
    std::uint64_t exposureSlack = 50;
    /// Time from the fiftieth bad answer until no request goes to the version.
    Duration rollbackTime = std::chrono::seconds(5);

    /// Share that is used. The rest is for proxies that learn of the order late.
    std::uint32_t canaryPermille() const
    {
        constexpr double UsedShare = 0.8;
        constexpr double PermilleOfAll = 1000;
        return static_cast<std::uint32_t>(exposureShare * UsedShare * PermilleOfAll);
    }
};

/// How an order ended, as the operators see it.
enum class RolloutStatus : std::uint8_t {
    Running,
    Completed,
    RolledBack,
};

/// An order as it lies in the platform, with the status that was written for it.
struct OrderFound
{
    RolloutOrder order;
    /// Nothing where there is no status for this order.
    std::optional<RolloutStatus> status;
    /// Revision of the status row; 0 where there is none.
    std::uint64_t statusRevision = 0;
};

/// Input: every order in the platform. The answer to OrdersWanted.
struct OrdersRead
{
    std::vector<OrderFound> orders;
};

/// Input: the platform did not answer OrdersWanted.
struct OrdersUnreadable
{ };

/// Input: the counts of one member of the data centre.
struct MemberRuns
{
    std::string member;
    std::vector<RunReport> reports;
};

/// What another data centre has counted, and does about the roll-outs.
struct DataCentreRuns
{
    std::string dataCentre;
    std::vector<RolloutState> states;
    std::vector<RunReport> reports;
};

/// Input: this proxy is the coordinator of its data centre, or no longer is.
struct CoordinatorRole
{
    bool isActing = false;
};

/// Input: serving members of the data centre, and the other data centres.
struct FleetSize
{
    std::set<std::string> members;
    std::set<std::string> otherDataCentres;
};

using RolloutControllerInput = std::variant<OrdersRead, OrdersUnreadable, MemberRuns, DataCentreRuns, CoordinatorRole, FleetSize>;

/// Output: read every order and its status.
struct OrdersWanted
{ };

/// Output: write the status, where its row still has this revision.
struct StatusWrite
{
    RolloutOrder order;
    RolloutStatus status = RolloutStatus::Running;
    std::uint64_t expectedRevision = 0;
};

/// Output: a roll-out entered another phase here.
struct PhaseChanged
{
    RolloutState state;
    /// Why a roll-out was rolled back; empty otherwise.
    std::string reason;
};

using RolloutControllerOutput = std::variant<OrdersWanted, StatusWrite, PhaseChanged>;

/// Decides about roll-outs. Every coordinator of a data centre decides; what lasts is the status in the platform, which is
/// written under a condition, so that two that decide differently end with the first one's word. A version that shows a fault
/// is left at once, before the status is written. A version is only given more than the canary share by a coordinator that
/// reads the platform and hears of every data centre.
class RolloutController
{
public:
    RolloutController(RolloutSettings settings, const Clock &clock);

    std::vector<RolloutControllerOutput> handle(const RolloutControllerInput &input);
    std::vector<RolloutControllerOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

    /// What the members are told.
    std::vector<RolloutState> states() const;
    /// When the orders were read last; nothing where this proxy has not read them as the coordinator.
    std::optional<TimePoint> knownAt() const;
    /// Sums of the data centre, for the other ones.
    std::vector<RunReport> sums() const;

private:
    struct Rollout
    {
        RolloutState state;
        /// Known since then to any member that has reported.
        TimePoint orderedAt;
        /// Since when every request goes to the new version.
        std::optional<TimePoint> fullSince;
        std::optional<RolloutStatus> status;
        std::uint64_t statusRevision = 0;
        bool isWriting = false;
        std::string reason;
        /// Last counts of each member.
        std::map<std::string, RunReport> members;
        std::map<std::string, std::vector<RunReport>> dataCentres;
        std::map<std::string, TimePoint> dataCentreHeardAt;
    };

    void accept(const OrdersRead &read);
    void accept(const OrdersUnreadable &unreadable);
    void accept(const MemberRuns &runs);
    void accept(const DataCentreRuns &runs);
    void accept(const CoordinatorRole &role);
    void accept(const FleetSize &size);
    void adopt(const OrderFound &found);
    void decide(Rollout &rollout);
    void noteAge(Rollout &rollout, const RunReport &report) const;
    void enter(Rollout &rollout, RolloutPhase phase, std::uint32_t sharePermille, const std::string &reason);
    void writeStatus(Rollout &rollout);
    RouteRuns runsOf(const Rollout &rollout) const;
    /// No request is on its way to the old version, and every member sends all to the new one.
    bool isOldIdle(const Rollout &rollout) const;
    bool isEveryDataCentreHeard(const Rollout &rollout) const;
    bool isPlatformReadable() const;

    RolloutSettings m_settings;
    const Clock &m_clock;
    bool m_isActing = false;
    std::set<std::string> m_members;
    std::set<std::string> m_otherDataCentres;
    std::map<std::string, Rollout> m_rollouts;
    std::optional<TimePoint> m_readAt;
    TimePoint m_nextRead;
    std::vector<RolloutControllerOutput> m_outputs;
};

} // namespace Fuchsiastep

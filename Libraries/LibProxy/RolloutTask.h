#pragma once

#include <LibCore/LibCore.h>
#include <LibFleet/LibFleet.h>
#include <LibMembership/MembershipTable.h>
#include <LibPlatform/LibPlatform.h>
#include <LibProxy/StatusWanted.h>
#include <LibProxy/Timer.h>
#include <LibRollout/LibRollout.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Carries out roll-outs: as the coordinator of its data centre it reads the orders and writes their status, and every proxy
/// counts the runs on its own upstream and splits its requests between the versions.
class RolloutTask
{
public:
    /// All arguments outlive the task.
    RolloutTask(const RolloutSettings &settings,
        const RolloutProtocol &protocol,
        const MembershipTable &table,
        const Clock &clock,
        MetricsRegistry &metrics,
        PlatformClient &platform);

    /// For requests; in the same main context.
    VersionSplit &split()
    {
        return m_split;
    }
    RunRecorder &recorder()
    {
        return m_recorder;
    }

    FleetTopicHandlers topic();
    /// Tells whether this proxy coordinates its data centre.
    void setCoordinator(std::function<bool()> isCoordinator);
    void start();
    JsonValue::Array status() const;

private:
    void run(std::vector<RolloutControllerOutput> outputs);
    void update(const std::vector<RolloutState> &states, TimePoint knownAt);
    void readOrders();
    void readStatuses(std::vector<Row> orders);
    void write(const StatusWrite &wanted);
    void logPhase(const PhaseChanged &change);
    RolloutNews news() const;
    void runDue();

    const RolloutProtocol &m_protocol;
    const MembershipTable &m_table;
    const Clock &m_clock;
    MetricsRegistry &m_metrics;
    PlatformClient &m_platform;
    std::function<bool()> m_isCoordinator = [] {
        return false;
    };
    RolloutController m_controller;
    VersionSplit m_split;
    RunRecorder m_recorder;
    /// Why a roll-out was rolled back, by service, for operators.
    std::map<std::string, std::string> m_reasons;
    Timer m_timer;
    /// Answers of the platform that arrive after the task has ended are dropped.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Fuchsiastep

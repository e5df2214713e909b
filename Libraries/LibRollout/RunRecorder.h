#pragma once

#include <LibCore/Clock.h>
#include <LibRollout/RolloutJudgement.h>
#include <LibRollout/RolloutState.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Runs of one selector on the upstream beside one proxy since the order of a roll-out became known there.
struct RunReport
{
    std::string service;
    std::uint64_t orderRevision = 0;
    bool isNewVersion = false;
    /// Runs in progress on an upstream of the old version.
    std::uint64_t oldInFlight = 0;
    /// Phase and share that the proxy applies.
    RolloutPhase phase = RolloutPhase::Canary;
    std::uint32_t sharePermille = 0;
    /// Since the order became known to the proxy.
    std::uint64_t orderAgeMs = 0;
    std::map<std::string, RunCounts> routes;

    bool operator==(const RunReport &) const = default;
};

/// Counts the runs on the upstream beside this proxy while its service has a roll-out.
class RunRecorder
{
public:
    explicit RunRecorder(const Clock &clock);

    /// The upstream beside this proxy. \a coldFor: it is slow for this long, since it has just started.
    void setUpstream(std::string service, std::string version, Duration coldFor);
    void update(const std::vector<RolloutState> &states);

    void start(std::uint64_t runId, const std::string &selector);
    /// The run ended with an answer.
    void end(std::uint64_t runId, std::uint16_t status, Duration time);
    /// The run ended without an answer, or with one that says that it did not run.
    void endWithout(std::uint64_t runId, bool isFailure);

    /// Nothing where the service has no roll-out.
    std::optional<RunReport> report() const;

private:
    RunCounts *countsOf(std::uint64_t runId);

    const Clock &m_clock;
    std::string m_service;
    std::string m_version;
    TimePoint m_warmAt;
    std::optional<RolloutState> m_state;
    TimePoint m_orderedAt;
    std::map<std::string, RunCounts> m_routes;
    /// Selector of each run in progress.
    std::map<std::uint64_t, std::string> m_runs;
};

} // namespace Fuchsiastep

#include <LibRollout/RunRecorder.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

static constexpr std::uint16_t FirstServerError = 500;
/// Routes whose runs are counted; further ones are counted together.
static constexpr std::size_t MaximumRoutes = 32;
static constexpr const char *OtherRoutes = "others";

RunRecorder::RunRecorder(const Clock &clock) : m_clock(clock), m_warmAt(clock.now())
{ }

void RunRecorder::setUpstream(std::string service, std::string version, Duration coldFor)
{
    m_service = std::move(service);
    m_version = std::move(version);
    m_warmAt = m_clock.now() + coldFor;
}

void RunRecorder::update(const std::vector<RolloutState> &states)
{
    const auto state =
        std::find_if(states.begin(), states.end(), [this](const RolloutState &entry) { return entry.order.service == m_service; });
    if (state == states.end()) {
        return;
    }
    if (!m_state || m_state->order.revision != state->order.revision) {
        m_routes.clear();
        m_orderedAt = m_clock.now();
    }
    m_state = *state;
}

void RunRecorder::start(std::uint64_t runId, const std::string &selector)
{
    m_runs[runId] = selector;
}

RunCounts *RunRecorder::countsOf(std::uint64_t runId)
{
    const auto run = m_runs.find(runId);
    if (run == m_runs.end()) {
        return nullptr;
    }
    const std::string selector = std::move(run->second);
    m_runs.erase(run);
    if (!m_state) {
        return nullptr;
    }
    const bool hasRoom = m_routes.size() < MaximumRoutes || m_routes.contains(selector);
    return &m_routes[hasRoom ? selector : OtherRoutes];
}

void RunRecorder::end(std::uint64_t runId, std::uint16_t status, Duration time)
{
    RunCounts *counts = countsOf(runId);
    if (counts == nullptr) {
        return;
    }
    if (status >= FirstServerError) {
        counts->addFailure();
    } else if (m_clock.now() < m_warmAt) {
        counts->addColdRun();
    } else {
        counts->addRun(time);
    }
}

void RunRecorder::endWithout(std::uint64_t runId, bool isFailure)
{
    RunCounts *counts = countsOf(runId);
    if (counts != nullptr && isFailure) {
        counts->addFailure();
    }
}

std::optional<RunReport> RunRecorder::report() const
{
    if (!m_state || isFinal(m_state->phase)) {
        return std::nullopt;
    }
    RunReport report;
    report.service = m_service;
    report.orderRevision = m_state->order.revision;
    report.isNewVersion = m_version == m_state->order.target;
    report.oldInFlight = report.isNewVersion ? 0 : m_runs.size();
    report.phase = m_state->phase;
    report.sharePermille = m_state->sharePermille;
    report.orderAgeMs =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_orderedAt).count());
    report.routes = m_routes;
    return report;
}

} // namespace Fuchsiastep

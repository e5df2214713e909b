#include <LibRollout/RolloutController.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

static constexpr std::uint32_t PermilleOfAll = 1000;
/// Time between two reads of the orders, and while a roll-out is decided.
static constexpr Duration ReadPeriod = std::chrono::seconds(2);
static constexpr Duration BusyReadPeriod = std::chrono::milliseconds(500);
/// Time for a write to be answered before the orders are read again.
static constexpr Duration WriteTime = std::chrono::milliseconds(200);
/// Every proxy has learned of the full share by then.
static constexpr Duration FullShareTime = std::chrono::milliseconds(1500);
/// What was read or heard longer ago is not enough to give a new version more requests.
static constexpr Duration NewsTime = std::chrono::seconds(3);
/// Parts of the time of a roll-out. Until the first one the new version keeps the canary share, since some faults show only
/// late; the rest is for its share to grow and for the old upstreams to become idle.
static constexpr double CanaryPart = 0.6;
static constexpr double HalfPart = 0.67;
static constexpr double FullPart = 0.74;
static constexpr double WritePart = 0.9;
static constexpr std::uint32_t HalfPermille = 500;
/// Before the deadline, the status is written in any case.
static constexpr Duration LastWriteTime = std::chrono::seconds(2);

RolloutController::RolloutController(RolloutSettings settings, const Clock &clock)
    : m_settings(settings), m_clock(clock), m_nextRead(clock.now())
{ }

std::vector<RolloutControllerOutput> RolloutController::handle(const RolloutControllerInput &input)
{
    std::visit([this](const auto &message) { accept(message); }, input);
    return std::exchange(m_outputs, {});
}

std::vector<RolloutControllerOutput> RolloutController::advance()
{
    if (!m_isActing) {
        return {};
    }
    const TimePoint now = m_clock.now();
    for (auto &[service, rollout] : m_rollouts) {
        decide(rollout);
    }
    if (now >= m_nextRead) {
        const bool isBusy =
            std::any_of(m_rollouts.begin(), m_rollouts.end(), [](const auto &entry) { return !isFinal(entry.second.state.phase); });
        m_nextRead = now + (isBusy ? BusyReadPeriod : ReadPeriod);
        m_outputs.emplace_back(OrdersWanted {});
    }
    return std::exchange(m_outputs, {});
}

std::optional<TimePoint> RolloutController::nextDeadline() const
{
    return m_isActing ? std::optional(m_nextRead) : std::nullopt;
}

std::vector<RolloutState> RolloutController::states() const
{
    std::vector<RolloutState> states;
    for (const auto &[service, rollout] : m_rollouts) {
        states.push_back(rollout.state);
    }
    return states;
}

std::optional<TimePoint> RolloutController::knownAt() const
{
    return m_isActing ? m_readAt : std::nullopt;
}

void RolloutController::accept(const OrdersRead &read)
{
    m_readAt = m_clock.now();
    for (const OrderFound &found : read.orders) {
        adopt(found);
    }
}

void RolloutController::accept(const OrdersUnreadable &)
{
    for (auto &[service, rollout] : m_rollouts) {
        // What became of the write is seen by the next read.
        rollout.isWriting = false;
    }
}

void RolloutController::accept(const MemberRuns &runs)
{
    for (const RunReport &report : runs.reports) {
        const auto rollout = m_rollouts.find(report.service);
        if (rollout != m_rollouts.end() && rollout->second.state.order.revision == report.orderRevision) {
            rollout->second.members[runs.member] = report;
            noteAge(rollout->second, report);
            decide(rollout->second);
        }
    }
}

void RolloutController::accept(const DataCentreRuns &runs)
{
    for (auto &[service, rollout] : m_rollouts) {
        rollout.dataCentreHeardAt[runs.dataCentre] = m_clock.now();
        rollout.dataCentres[runs.dataCentre].clear();
    }
    for (const RunReport &report : runs.reports) {
        const auto rollout = m_rollouts.find(report.service);
        if (rollout != m_rollouts.end() && rollout->second.state.order.revision == report.orderRevision) {
            rollout->second.dataCentres[runs.dataCentre].push_back(report);
            noteAge(rollout->second, report);
        }
    }
    for (const RolloutState &state : runs.states) {
        const auto rollout = m_rollouts.find(state.order.service);
        // A fault that another data centre has seen counts here as well; a larger share does not.
        const bool isOpen = rollout != m_rollouts.end() && rollout->second.state.order.revision == state.order.revision
            && !isFinal(rollout->second.state.phase);
        if (isOpen && isFinal(state.phase)) {
            enter(rollout->second, state.phase, state.sharePermille, "decided in " + runs.dataCentre);
        }
    }
}

void RolloutController::accept(const CoordinatorRole &role)
{
    if (role.isActing && !m_isActing) {
        m_nextRead = m_clock.now();
        m_readAt.reset();
    }
    m_isActing = role.isActing;
}

void RolloutController::accept(const FleetSize &size)
{
    m_members = size.members;
    m_otherDataCentres = size.otherDataCentres;
}

void RolloutController::adopt(const OrderFound &found)
{
    const auto known = m_rollouts.find(found.order.service);
    const bool isNew = known == m_rollouts.end() || known->second.state.order.revision < found.order.revision;
    if (!isNew && known->second.state.order.revision > found.order.revision) {
        return;
    }
    if (isNew) {
        Rollout rollout;
        rollout.state = {found.order, RolloutPhase::Canary, m_settings.canaryPermille()};
        rollout.orderedAt = m_clock.now();
        m_rollouts[found.order.service] = std::move(rollout);
    }
    Rollout &rollout = m_rollouts.at(found.order.service);
    rollout.status = found.status;
    rollout.statusRevision = found.statusRevision;
    rollout.isWriting = false;
    if (isNew) {
        m_outputs.emplace_back(PhaseChanged {rollout.state, {}});
    }
    if (found.status == RolloutStatus::Completed) {
        enter(rollout, RolloutPhase::Completed, PermilleOfAll, {});
    } else if (found.status == RolloutStatus::RolledBack) {
        enter(rollout, RolloutPhase::RolledBack, 0, "decided before");
    }
    decide(rollout);
}

void RolloutController::noteAge(Rollout &rollout, const RunReport &report) const
{
    const TimePoint now = m_clock.now();
    rollout.orderedAt = std::min(rollout.orderedAt, now - std::chrono::milliseconds(std::min<std::uint64_t>(report.orderAgeMs, 3'600'000)));
}

void RolloutController::enter(Rollout &rollout, RolloutPhase phase, std::uint32_t sharePermille, const std::string &reason)
{
    const RolloutState next {rollout.state.order, phase, sharePermille};
    // The status in the platform is the last word: nothing follows it.
    if (next == rollout.state || (!supersedes(next, rollout.state) && !isFinal(phase))) {
        return;
    }
    rollout.state = next;
    rollout.reason = reason;
    if (sharePermille == PermilleOfAll && !rollout.fullSince) {
        rollout.fullSince = m_clock.now();
    }
    m_outputs.emplace_back(PhaseChanged {next, reason});
}

void RolloutController::decide(Rollout &rollout)
{
    if (!m_isActing) {
        return;
    }
    if (!isFinal(rollout.state.phase)) {
        const RolloutVerdict verdict = judgeRollout(runsOf(rollout));
        if (verdict.isBad) {
            enter(rollout, RolloutPhase::RolledBack, 0, verdict.reason);
        }
    }
    const Duration age = m_clock.now() - rollout.orderedAt;
    const Duration length = rollout.state.order.length;
    const bool mayGrow = isPlatformReadable() && isEveryDataCentreHeard(rollout);
    if (!isFinal(rollout.state.phase) && mayGrow) {
        if (age >= scaled(length, FullPart)) {
            enter(rollout, RolloutPhase::Ramping, PermilleOfAll, {});
        } else if (age >= scaled(length, HalfPart)) {
            enter(rollout, RolloutPhase::Ramping, HalfPermille, {});
        } else if (age >= scaled(length, CanaryPart)) {
            enter(rollout, RolloutPhase::Ramping, std::max(rollout.state.sharePermille, HalfPermille / 2), {});
        }
    }
    writeStatus(rollout);
}

void RolloutController::writeStatus(Rollout &rollout)
{
    const bool isDecided = rollout.status && *rollout.status != RolloutStatus::Running;
    if (rollout.isWriting || isDecided || !isPlatformReadable()) {
        return;
    }
    RolloutStatus wanted = RolloutStatus::Running;
    if (rollout.state.phase == RolloutPhase::RolledBack) {
        wanted = RolloutStatus::RolledBack;
    } else if (rollout.state.phase == RolloutPhase::Ramping && rollout.state.sharePermille == PermilleOfAll) {
        const Duration age = m_clock.now() - rollout.orderedAt;
        const Duration length = rollout.state.order.length;
        // Requests that still run there are cut off; later the deadline is missed anyway.
        const bool isLast = age >= std::min(scaled(length, WritePart), length - LastWriteTime) && age <= length;
        const bool isKnown = rollout.fullSince && m_clock.now() - *rollout.fullSince >= FullShareTime;
        if (isKnown && (isOldIdle(rollout) || isLast)) {
            wanted = RolloutStatus::Completed;
        }
    }
    if (rollout.status == wanted) {
        return;
    }
    rollout.isWriting = true;
    m_outputs.emplace_back(StatusWrite {rollout.state.order, wanted, rollout.statusRevision});
    m_nextRead = m_clock.now() + WriteTime;
}

RouteRuns RolloutController::runsOf(const Rollout &rollout) const
{
    RouteRuns routes;
    const auto add = [&](const RunReport &report) {
        for (const auto &[selector, counts] : report.routes) {
            VersionRuns &runs = routes[selector];
            (report.isNewVersion ? runs.newVersion : runs.oldVersion) += counts;
        }
    };
    for (const auto &[member, report] : rollout.members) {
        add(report);
    }
    for (const auto &[dataCentre, reports] : rollout.dataCentres) {
        std::for_each(reports.begin(), reports.end(), add);
    }
    return routes;
}

std::vector<RunReport> RolloutController::sums() const
{
    std::vector<RunReport> sums;
    for (const auto &[service, rollout] : m_rollouts) {
        if (isFinal(rollout.state.phase)) {
            continue;
        }
        RunReport oldSum {service, rollout.state.order.revision, false};
        oldSum.phase = rollout.state.phase;
        oldSum.sharePermille = rollout.state.sharePermille;
        oldSum.orderAgeMs =
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - rollout.orderedAt).count());
        RunReport newSum = oldSum;
        newSum.isNewVersion = true;
        for (const auto &[member, report] : rollout.members) {
            RunReport &sum = report.isNewVersion ? newSum : oldSum;
            for (const auto &[selector, counts] : report.routes) {
                sum.routes[selector] += counts;
            }
            // A member that has gone has nothing in progress.
            const bool isThere = m_members.contains(member);
            oldSum.oldInFlight += isThere ? report.oldInFlight : 0;
            oldSum.sharePermille = isThere ? std::min(oldSum.sharePermille, report.sharePermille) : oldSum.sharePermille;
        }
        sums.push_back(std::move(oldSum));
        sums.push_back(std::move(newSum));
    }
    return sums;
}

bool RolloutController::isOldIdle(const Rollout &rollout) const
{
    const auto isIdle = [](const RunReport &report) {
        return report.oldInFlight == 0 && report.sharePermille == PermilleOfAll;
    };
    for (const auto &[member, report] : rollout.members) {
        if (m_members.contains(member) && !isIdle(report)) {
            return false;
        }
    }
    for (const std::string &dataCentre : m_otherDataCentres) {
        const auto reports = rollout.dataCentres.find(dataCentre);
        if (reports == rollout.dataCentres.end() || !std::all_of(reports->second.begin(), reports->second.end(), isIdle)) {
            return false;
        }
    }
    return true;
}

bool RolloutController::isEveryDataCentreHeard(const Rollout &rollout) const
{
    return std::all_of(m_otherDataCentres.begin(), m_otherDataCentres.end(), [&](const std::string &dataCentre) {
        const auto heard = rollout.dataCentreHeardAt.find(dataCentre);
        return heard != rollout.dataCentreHeardAt.end() && m_clock.now() - heard->second <= NewsTime;
    });
}

bool RolloutController::isPlatformReadable() const
{
    return m_readAt && m_clock.now() - *m_readAt <= NewsTime;
}

} // namespace Fuchsiastep

#include <LibFleet/AllowanceBudget.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Fuchsiastep {

static constexpr double MillisecondsPerSecond = 1000;
/// Demand is averaged over about this time.
static constexpr double DemandMemorySeconds = 1;
/// A workspace without requests for this long is forgotten.
static constexpr std::uint64_t WorkspaceMemoryMs = 30'000;
/// Below this many requests in one report period, tokens are asked for as requests come.
static constexpr double LeastPrefetched = 0.5;

static std::uint64_t millisecondsOf(Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

AllowanceBudget::AllowanceBudget(Settings settings, const Clock &clock, Random &random)
    : m_settings(settings)
    , m_clock(clock)
    , m_random(random)
    , m_startedMs(clock.uninterruptedMilliseconds())
    , m_lastReportMs(clock.uninterruptedMilliseconds())
{ }

std::uint64_t AllowanceBudget::now() const
{
    return m_clock.uninterruptedMilliseconds();
}

void AllowanceBudget::setMemberCount(std::size_t count)
{
    m_memberCount = std::max<std::size_t>(1, count);
}

AllowanceVerdict AllowanceBudget::take(std::uint64_t requestId, const std::string &workspace, const AllowanceLimit &limit)
{
    State &state = m_workspaces[workspace];
    state.limit = limit;
    state.lastUsedAtMs = now();
    ++state.arrivals;
    dropEndedLots(state);
    if (const std::optional<AllowanceAdmitted> admitted = takeToken(state)) {
        return *admitted;
    }
    if (state.exhaustedUntilMs > now()) {
        return exhausted(state);
    }
    if (isCoordinatorSilent()) {
        m_isReportWanted = true;
        const std::optional<AllowanceAdmitted> admitted = takeOwnToken(state);
        return admitted ? AllowanceVerdict(*admitted) : AllowanceVerdict(unavailable());
    }
    state.waiting.push_back(requestId);
    m_waiters[requestId] = {workspace, m_clock.now() + m_settings.longestWait};
    m_isReportWanted = true;
    return AllowanceWaiting {};
}

void AllowanceBudget::cancel(std::uint64_t requestId)
{
    const auto waiter = m_waiters.find(requestId);
    if (waiter != m_waiters.end()) {
        std::erase(m_workspaces[waiter->second.workspace].waiting, requestId);
        m_waiters.erase(waiter);
    }
}

void AllowanceBudget::giveBack(const std::string &workspace, const AllowanceAdmitted &admitted)
{
    const auto state = m_workspaces.find(workspace);
    // A token that is used again after its time would count in a later window as well.
    if (state != m_workspaces.end() && admitted.tokenEndsAtMs > now()) {
        state->second.lots.push_front({1, admitted.tokenEndsAtMs});
    }
}

std::vector<AllowanceDemand> AllowanceBudget::report()
{
    const std::uint64_t at = now();
    const double seconds = static_cast<double>(std::max<std::uint64_t>(1, at - m_lastReportMs)) / MillisecondsPerSecond;
    m_lastReportMs = at;
    m_isReportWanted = false;
    std::erase_if(m_workspaces,
        [at](const auto &entry) { return entry.second.waiting.empty() && at - entry.second.lastUsedAtMs > WorkspaceMemoryMs; });
    std::vector<AllowanceDemand> demands;
    for (auto &[workspace, state] : m_workspaces) {
        AllowanceDemand demand = demandOf(workspace, state, seconds);
        // The coordinator forgets a demand that is not repeated.
        if (demand.wanted > 0 || demand.returned > 0 || demand.demandPerKilosecond > 0) {
            demands.push_back(std::move(demand));
        }
    }
    return demands;
}

AllowanceDemand AllowanceBudget::demandOf(const std::string &workspace, State &state, double seconds)
{
    const double weight = 1 - std::exp(-seconds / DemandMemorySeconds);
    state.arrivalsPerSecond += weight * (static_cast<double>(std::exchange(state.arrivals, 0)) / seconds - state.arrivalsPerSecond);
    state.admittedPerSecond += weight * (static_cast<double>(std::exchange(state.admitted, 0)) / seconds - state.admittedPerSecond);
    constexpr double Negligible = 0.001;
    if (state.arrivalsPerSecond < Negligible) {
        state.arrivalsPerSecond = 0;
    }
    dropEndedLots(state);
    std::uint64_t held = 0;
    for (const Lot &lot : state.lots) {
        held += lot.tokens;
    }
    const double expected = state.arrivalsPerSecond * std::chrono::duration<double>(m_settings.quota.reportPeriod()).count();
    const std::uint64_t ahead = expected >= LeastPrefetched ? static_cast<std::uint64_t>(std::ceil(expected + std::sqrt(expected))) : 0;
    AllowanceDemand demand {workspace};
    demand.demandPerKilosecond = static_cast<std::uint64_t>(state.arrivalsPerSecond * MillisecondsPerSecond);
    demand.wanted = state.waiting.size() + (ahead > held ? ahead - held : 0);
    demand.returned = std::exchange(state.ended, 0);
    return demand;
}

std::vector<AllowanceDecision> AllowanceBudget::accept(FleetReportTime reported, const std::vector<AllowanceGrant> &grants)
{
    m_lastReplyMs = std::max(m_lastReplyMs, reported.sentAtMs);
    std::vector<AllowanceDecision> decisions;
    for (const AllowanceGrant &grant : grants) {
        const auto found = m_workspaces.find(grant.workspace);
        if (found == m_workspaces.end()) {
            continue;
        }
        State &state = found->second;
        constexpr double Thousandth = 0.001;
        state.pressure = static_cast<double>(grant.pressurePermille) * Thousandth;
        state.exhaustedUntilMs = grant.exhaustedForMs > 0 ? now() + grant.exhaustedForMs : 0;
        if (grant.tokens > 0) {
            // The grant was made after the report went out.
            state.lots.push_back({grant.tokens, reported.sentAtMs + millisecondsOf(m_settings.quota.tokenLifetime())});
        }
        dropEndedLots(state);
        while (!state.waiting.empty()) {
            const std::optional<AllowanceAdmitted> admitted = takeToken(state);
            if (!admitted && grant.exhaustedForMs == 0) {
                break;
            }
            const std::uint64_t requestId = state.waiting.front();
            state.waiting.pop_front();
            m_waiters.erase(requestId);
            decisions.push_back({requestId, admitted ? AllowanceVerdict(*admitted) : AllowanceVerdict(exhausted(state))});
        }
        m_isReportWanted = m_isReportWanted || !state.waiting.empty();
    }
    return decisions;
}

std::vector<AllowanceDecision> AllowanceBudget::advance()
{
    std::vector<AllowanceDecision> decisions;
    for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
        if (waiter->second.until > m_clock.now()) {
            ++waiter;
            continue;
        }
        State &state = m_workspaces[waiter->second.workspace];
        std::erase(state.waiting, waiter->first);
        const std::optional<AllowanceAdmitted> admitted = takeOwnToken(state);
        decisions.push_back({waiter->first, admitted ? AllowanceVerdict(*admitted) : AllowanceVerdict(unavailable())});
        waiter = m_waiters.erase(waiter);
    }
    return decisions;
}

std::optional<TimePoint> AllowanceBudget::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const auto &[requestId, waiter] : m_waiters) {
        next = std::min(waiter.until, next.value_or(waiter.until));
    }
    return next;
}

void AllowanceBudget::dropEndedLots(State &state) const
{
    while (!state.lots.empty() && state.lots.front().endsAtMs <= now()) {
        state.ended += state.lots.front().tokens;
        state.lots.pop_front();
    }
}

std::optional<AllowanceAdmitted> AllowanceBudget::takeToken(State &state)
{
    if (state.lots.empty()) {
        return std::nullopt;
    }
    Lot &lot = state.lots.front();
    const AllowanceAdmitted admitted {lot.endsAtMs};
    ++state.admitted;
    if (--lot.tokens == 0) {
        state.lots.pop_front();
    }
    return admitted;
}

bool AllowanceBudget::isCoordinatorSilent() const
{
    return now() - m_lastReplyMs > millisecondsOf(m_settings.quota.tokenLifetime()) * 2;
}

double AllowanceBudget::ownRate(const State &state) const
{
    if (now() - m_lastReplyMs <= millisecondsOf(m_settings.fallbackTime)) {
        return state.admittedPerSecond;
    }
    const auto parts = static_cast<double>(std::max<std::size_t>(1, m_settings.quota.dataCentres) * m_memberCount);
    return state.limit.requestsPerSecond / parts;
}

std::optional<AllowanceAdmitted> AllowanceBudget::takeOwnToken(State &state)
{
    constexpr double KeptSeconds = 0.5;
    const std::uint64_t since = std::max({state.ownRefilledAtMs, m_lastReplyMs, m_startedMs});
    const double seconds = static_cast<double>(now() - std::min(now(), since)) / MillisecondsPerSecond;
    const double rate = ownRate(state);
    state.ownLevel =
        std::min(std::max(1.0, rate * KeptSeconds), (state.ownRefilledAtMs < m_lastReplyMs ? 0 : state.ownLevel) + rate * seconds);
    state.ownRefilledAtMs = now();
    if (state.ownLevel < 1) {
        return std::nullopt;
    }
    state.ownLevel -= 1;
    ++state.admitted;
    return AllowanceAdmitted {0};
}

AllowanceExhausted AllowanceBudget::exhausted(const State &state)
{
    // With twice the demand that the quota has room for, half of the callers that come back find no room either.
    constexpr double BaseSeconds = 0.5;
    const Duration wait = std::clamp(
        scaled(std::chrono::seconds(1), BaseSeconds * state.pressure), m_settings.shortestRetryAfter, m_settings.longestRetryAfter);
    return {wait / 2 + m_random.jitter(wait)};
}

AllowanceUnavailable AllowanceBudget::unavailable()
{
    const Duration wait = m_settings.quota.tokenLifetime();
    return {wait / 2 + m_random.jitter(wait)};
}

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibFleet/AllowanceMessages.h>
#include <LibFleet/AllowanceSettings.h>
#include <LibFleet/FleetTopicHandlers.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// The request may run. Its token may be given back until \a tokenEndsAtMs, on the clock that counts suspensions.
struct AllowanceAdmitted
{
    std::uint64_t tokenEndsAtMs = 0;
};

/// A token was asked for. AllowanceBudget::accept() or advance() tells what becomes of the request.
struct AllowanceWaiting
{ };

/// The workspace has used up its quota.
struct AllowanceExhausted
{
    Duration retryAfter {0};
};

/// No coordinator answers, and this proxy has no token of its own.
struct AllowanceUnavailable
{
    Duration retryAfter {0};
};

using AllowanceVerdict = std::variant<AllowanceAdmitted, AllowanceWaiting, AllowanceExhausted, AllowanceUnavailable>;

/// What became of a request that waited.
struct AllowanceDecision
{
    std::uint64_t requestId = 0;
    AllowanceVerdict verdict;
};

/// The tokens that one proxy holds for the quotas of workspaces. One token admits one request. Tokens come from the
/// coordinator of the data centre: ahead of the requests for a workspace with many, on demand for one with few, so that a quota
/// of few requests a second is not lost in parts of a token on many proxies.
class AllowanceBudget
{
public:
    struct Settings
    {
        AllowanceSettings quota;
        /// A request waits this long for a token.
        Duration longestWait = std::chrono::milliseconds(100);
        /// Without answers, tokens go on at the rate that was granted lately for this long.
        Duration fallbackTime = std::chrono::seconds(3);
        Duration shortestRetryAfter = std::chrono::milliseconds(200);
        Duration longestRetryAfter = std::chrono::seconds(5);
    };

    AllowanceBudget(Settings settings, const Clock &clock, Random &random);

    /// \a limit: the quota of the workspace for the whole deployment.
    AllowanceVerdict take(std::uint64_t requestId, const std::string &workspace, const AllowanceLimit &limit);
    /// The caller of a waiting request has left.
    void cancel(std::uint64_t requestId);
    /// The request of an AllowanceAdmitted was not run.
    void giveBack(const std::string &workspace, const AllowanceAdmitted &admitted);

    /// What the coordinator is told now.
    std::vector<AllowanceDemand> report();
    /// The answer to a report.
    std::vector<AllowanceDecision> accept(FleetReportTime reported, const std::vector<AllowanceGrant> &grants);
    /// Ends waits that are over.
    std::vector<AllowanceDecision> advance();
    std::optional<TimePoint> nextDeadline() const;

    /// A request waits for a token that was not asked for yet.
    bool isReportWanted() const
    {
        return m_isReportWanted;
    }
    /// Live members of the data centre, this proxy included.
    void setMemberCount(std::size_t count);
    /// Workspaces with recent requests.
    std::size_t size() const
    {
        return m_workspaces.size();
    }

private:
    struct Lot
    {
        std::uint64_t tokens = 0;
        std::uint64_t endsAtMs = 0;
    };
    struct State
    {
        AllowanceLimit limit;
        std::deque<Lot> lots;
        std::deque<std::uint64_t> waiting;
        std::uint64_t arrivals = 0;
        std::uint64_t admitted = 0;
        /// Tokens that ended unused since the last report.
        std::uint64_t ended = 0;
        double arrivalsPerSecond = 0;
        double admittedPerSecond = 0;
        std::uint64_t exhaustedUntilMs = 0;
        double pressure = 1;
        /// Tokens while no coordinator answers.
        double ownLevel = 0;
        std::uint64_t ownRefilledAtMs = 0;
        std::uint64_t lastUsedAtMs = 0;
    };
    struct Waiter
    {
        std::string workspace;
        TimePoint until;
    };

    void dropEndedLots(State &state) const;
    std::optional<AllowanceAdmitted> takeToken(State &state);
    std::optional<AllowanceAdmitted> takeOwnToken(State &state);
    /// Tokens a second without a coordinator.
    double ownRate(const State &state) const;
    bool isCoordinatorSilent() const;
    AllowanceExhausted exhausted(const State &state);
    AllowanceUnavailable unavailable();
    AllowanceDemand demandOf(const std::string &workspace, State &state, double seconds);
    std::uint64_t now() const;

    Settings m_settings;
    const Clock &m_clock;
    Random &m_random;
    std::map<std::string, State> m_workspaces;
    std::map<std::uint64_t, Waiter> m_waiters;
    std::size_t m_memberCount = 1;
    std::uint64_t m_startedMs;
    std::uint64_t m_lastReportMs;
    std::uint64_t m_lastReplyMs = 0;
    bool m_isReportWanted = false;
};

} // namespace Fuchsiastep

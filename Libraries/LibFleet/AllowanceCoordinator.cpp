#include <LibFleet/AllowanceCoordinator.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Fuchsiastep {

/// A member that has not reported for this long reports elsewhere or is gone.
static constexpr Duration ReportMemory = std::chrono::seconds(1);
/// A workspace without demand for this long is forgotten.
static constexpr Duration BucketMemory = std::chrono::seconds(30);
static constexpr Duration CleanupPeriod = std::chrono::seconds(5);

static double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

AllowanceCoordinator::AllowanceCoordinator(AllowanceSettings settings, FindLimit findLimit, const Clock &clock)
    : m_settings(settings), m_findLimit(std::move(findLimit)), m_clock(clock), m_nextCleanup(clock.now())
{ }

std::vector<AllowanceGrant> AllowanceCoordinator::answer(
    const std::string &member, const std::vector<AllowanceDemand> &demands, std::size_t memberCount)
{
    const TimePoint now = m_clock.now();
    if (!m_actingSince || now - m_lastReport > ReportMemory) {
        // Meanwhile another member granted these tokens.
        m_actingSince = now;
        m_buckets.clear();
        m_reports.clear();
    }
    m_lastReport = now;
    m_memberCount = std::max<std::size_t>(1, memberCount);
    m_reports[member] = now;
    forgetOld();
    std::vector<AllowanceGrant> grants;
    for (const AllowanceDemand &demand : demands) {
        if (const std::optional<AllowanceLimit> limit = m_findLimit(demand.workspace)) {
            grants.push_back(grant(member, demand, limitHere(*limit)));
        }
    }
    return grants;
}

AllowanceLimit AllowanceCoordinator::limitHere(const AllowanceLimit &limit) const
{
    const auto share = static_cast<double>(std::max<std::size_t>(1, m_settings.dataCentres));
    // Half of the slack makes up for what is lost where a quota of few requests is divided into whole tokens.
    return {limit.requestsPerSecond / share, limit.burst / share + slackHere()};
}

double AllowanceCoordinator::slackHere() const
{
    return static_cast<double>(m_settings.slack) / 2 / static_cast<double>(std::max<std::size_t>(1, m_settings.dataCentres));
}

double AllowanceCoordinator::reportingShare() const
{
    return std::min(1.0, static_cast<double>(m_reports.size()) / static_cast<double>(m_memberCount));
}

AllowanceCoordinator::Bucket &AllowanceCoordinator::bucketOf(const std::string &workspace, const AllowanceLimit &limit)
{
    const auto [place, isNew] = m_buckets.try_emplace(workspace);
    Bucket &bucket = place->second;
    if (isNew) {
        // Without demand it has filled since this member began to act.
        bucket.refilledAt = *m_actingSince;
        // What another coordinator granted before leaves this part of the slack in any case.
        bucket.level = slackHere();
    }
    refill(bucket, limit);
    return bucket;
}

void AllowanceCoordinator::refill(Bucket &bucket, const AllowanceLimit &limit)
{
    const TimePoint now = m_clock.now();
    const double refilled = limit.requestsPerSecond * reportingShare() * secondsOf(now - bucket.refilledAt);
    bucket.level = std::min(limit.capacity(m_settings.reportPeriod()), bucket.level + refilled);
    bucket.refilledAt = now;
}

AllowanceGrant AllowanceCoordinator::grant(const std::string &member, const AllowanceDemand &demand, const AllowanceLimit &limit)
{
    constexpr double Thousandth = 0.001;
    constexpr double PermilleOfAll = 1000;
    const TimePoint now = m_clock.now();
    Bucket &bucket = bucketOf(demand.workspace, limit);
    bucket.level = std::min(limit.capacity(m_settings.reportPeriod()), bucket.level + static_cast<double>(demand.returned));
    MemberDemand &known = bucket.members[member];
    const Duration sinceLast = std::min(now - known.reportedAt, m_settings.tokenLifetime());
    known.perSecond = static_cast<double>(demand.demandPerKilosecond) * Thousandth;
    known.reportedAt = now;
    bucket.demandPerSecond = 0;
    for (const auto &[id, other] : bucket.members) {
        bucket.demandPerSecond += now - other.reportedAt <= ReportMemory ? other.perSecond : 0;
    }
    const double rate = limit.requestsPerSecond * reportingShare();
    const bool isShort = bucket.demandPerSecond > rate;
    double available = bucket.level;
    if (isShort && bucket.demandPerSecond > 0) {
        // Each member gets its part of what came in since its last report, and of what was saved before.
        const double part = known.perSecond / bucket.demandPerSecond;
        const double saved = std::max(0.0, bucket.level - rate * secondsOf(m_settings.reportPeriod()));
        known.credit = std::min(known.credit + part * rate * secondsOf(sinceLast), 1 + part * rate * secondsOf(m_settings.tokenLifetime()));
        // A token is not divided: it goes to the member that asks first.
        available = std::min(bucket.level, std::max(1.0, known.credit + part * saved));
    }
    AllowanceGrant result {demand.workspace};
    result.tokens = std::min(demand.wanted, static_cast<std::uint64_t>(std::max(0.0, std::floor(available))));
    bucket.level -= static_cast<double>(result.tokens);
    known.credit = isShort ? std::max(0.0, known.credit - static_cast<double>(result.tokens)) : 0;
    bucket.missing += static_cast<double>(demand.wanted - result.tokens);
    result.pressurePermille = static_cast<std::uint64_t>(
        PermilleOfAll * std::clamp(rate > 0 ? bucket.demandPerSecond / rate : PermilleOfAll, 1.0, PermilleOfAll));
    // A member that wants a token or two more may ask again at once; many wishes would only cost messages.
    constexpr std::uint64_t FewTokens = 2;
    const std::uint64_t lacking = demand.wanted - result.tokens;
    if (lacking > FewTokens || (lacking > 0 && (result.tokens == 0 || bucket.level < 1))) {
        result.exhaustedForMs =
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.reportPeriod()).count());
    }
    return result;
}

std::vector<AllowanceLoan> AllowanceCoordinator::shortfalls()
{
    std::vector<AllowanceLoan> loans;
    for (auto &[workspace, bucket] : m_buckets) {
        const double missing = std::exchange(bucket.missing, 0);
        if (missing >= 1) {
            loans.push_back({workspace, static_cast<std::uint64_t>(missing)});
        }
    }
    return loans;
}

std::vector<AllowanceLoan> AllowanceCoordinator::lend(const std::vector<AllowanceLoan> &wanted)
{
    std::vector<AllowanceLoan> loans;
    if (!m_actingSince) {
        return loans;
    }
    for (const AllowanceLoan &want : wanted) {
        const std::optional<AllowanceLimit> limit = m_findLimit(want.workspace);
        if (!limit) {
            continue;
        }
        Bucket &bucket = bucketOf(want.workspace, limitHere(*limit));
        const double ownNeed = bucket.demandPerSecond * secondsOf(m_settings.tokenLifetime());
        const double spare = std::floor(std::max(0.0, bucket.level - ownNeed));
        const std::uint64_t lent = std::min(want.tokens, static_cast<std::uint64_t>(spare));
        if (lent > 0) {
            bucket.level -= static_cast<double>(lent);
            loans.push_back({want.workspace, lent});
        }
    }
    return loans;
}

void AllowanceCoordinator::borrow(const std::vector<AllowanceLoan> &loans)
{
    if (!m_actingSince) {
        return;
    }
    for (const AllowanceLoan &loan : loans) {
        if (const std::optional<AllowanceLimit> limit = m_findLimit(loan.workspace)) {
            const AllowanceLimit here = limitHere(*limit);
            Bucket &bucket = bucketOf(loan.workspace, here);
            // The capacity bounds what all data centres together may use at once.
            bucket.level = std::min(here.capacity(m_settings.reportPeriod()), bucket.level + static_cast<double>(loan.tokens));
        }
    }
}

void AllowanceCoordinator::forgetOld()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_reports, [now](const auto &entry) { return now - entry.second > ReportMemory; });
    if (now < m_nextCleanup) {
        return;
    }
    m_nextCleanup = now + CleanupPeriod;
    for (auto &[workspace, bucket] : m_buckets) {
        std::erase_if(bucket.members, [now](const auto &member) { return now - member.second.reportedAt > ReportMemory; });
    }
    std::erase_if(
        m_buckets, [now](const auto &entry) { return entry.second.members.empty() && now - entry.second.refilledAt > BucketMemory; });
}

} // namespace Fuchsiastep

#include <LibMembership/RangeBroadcast.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

RangeBroadcast::RangeBroadcast(const DistributorSettings &settings, const MembershipTable &table, const Clock &clock, Random &random)
    : m_settings(settings), m_table(table), m_clock(clock), m_random(random)
{ }

std::vector<DistributorOutput> RangeBroadcast::start(const ConfigurationPushFrame &push, const RingRange &range)
{
    for (const RingRange &part : splitRange(m_table, range, m_settings.fanOut)) {
        Assignment assignment {push, part};
        if (assign(assignment)) {
            m_assignments.push_back(std::move(assignment));
        }
    }
    return std::exchange(m_outputs, {});
}

void RangeBroadcast::acknowledged(const std::string &peer, ConfigurationVersion version)
{
    std::erase_if(m_assignments,
        [&](const Assignment &assignment) { return assignment.delegate == peer && assignment.push.targetVersion == version; });
}

std::vector<DistributorOutput> RangeBroadcast::lost(const std::string &peer)
{
    for (Assignment &assignment : m_assignments) {
        if (assignment.delegate == peer) {
            assignment.deadline = m_clock.now();
        }
    }
    return advance();
}

std::vector<DistributorOutput> RangeBroadcast::advance()
{
    std::erase_if(m_assignments, [this](Assignment &assignment) {
        if (assignment.deadline > m_clock.now()) {
            return false;
        }
        announceByProbe(assignment.range);
        const std::string oldDelegate = assignment.delegate;
        if (!assign(assignment)) {
            return true;
        }
        m_outputs.emplace_back(RangeReassigned {oldDelegate, assignment.delegate});
        return false;
    });
    return std::exchange(m_outputs, {});
}

void RangeBroadcast::announceByProbe(const RingRange &range)
{
    std::vector<std::string> members = peersInRange(m_table, range);
    for (std::size_t chosen = 0; chosen < members.size() && chosen < m_settings.membersProbed; ++chosen) {
        std::swap(members[chosen], members[chosen + m_random.below(members.size() - chosen)]);
    }
    members.resize(std::min(members.size(), m_settings.membersProbed));
    if (!members.empty()) {
        m_outputs.emplace_back(RangeUnacknowledged {std::move(members)});
    }
}

std::optional<TimePoint> RangeBroadcast::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const Assignment &assignment : m_assignments) {
        next = std::min(next.value_or(assignment.deadline), assignment.deadline);
    }
    return next;
}

bool RangeBroadcast::assign(Assignment &assignment)
{
    if (assignment.attempts == m_settings.delegateAttempts) {
        return false;
    }
    const std::optional<std::string> delegate = chooseDelegate(assignment);
    if (!delegate) {
        return false;
    }
    ++assignment.attempts;
    assignment.delegate = *delegate;
    assignment.tried.insert(*delegate);
    assignment.deadline = m_clock.now() + m_settings.ackTimeout;
    ConfigurationPushFrame push = assignment.push;
    push.rangeBegin = assignment.range.begin;
    push.rangeEnd = assignment.range.end;
    m_outputs.emplace_back(SendFrame {*delegate, std::move(push)});
    return true;
}

std::optional<std::string> RangeBroadcast::chooseDelegate(const Assignment &assignment)
{
    const std::vector<std::string> peers = peersInRange(m_table, assignment.range);
    if (peers.empty()) {
        return std::nullopt;
    }
    std::vector<std::string> choices;
    std::copy_if(
        peers.begin(), peers.end(), std::back_inserter(choices), [&](const std::string &id) { return !assignment.tried.contains(id); });
    // Where all were tried, the frames may have been lost, so the same members are tried again.
    const std::vector<std::string> &pool = choices.empty() ? peers : choices;
    return pool[m_random.below(pool.size())];
}

} // namespace Fuchsiastep

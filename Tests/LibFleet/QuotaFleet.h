#pragma once

#include <LibFleet/LibFleet.h>

#include <LibCore/LibCore.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Members of several data centres with the real decision objects of quotas. Reports and replies take time, and the requests of
/// workspaces arrive at members at random. Every admitted request is recorded.
class QuotaFleet
{
public:
    struct WorkspacePlan
    {
        std::string name;
        AllowanceLimit limit;
        /// Requests a second over the whole fleet.
        double demand = 0;
    };
    struct Refusals
    {
        std::uint64_t asked = 0;
        std::uint64_t refused = 0;
    };

    QuotaFleet(std::size_t dataCentres, std::size_t membersEach, std::vector<WorkspacePlan> plans, std::uint64_t seed)
        : m_random(seed), m_plans(std::move(plans))
    {
        m_quota.dataCentres = dataCentres;
        for (std::size_t dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
            for (std::size_t number = 0; number < membersEach; ++number) {
                m_members.push_back({dataCentre, number});
                restart(m_members.size() - 1);
                m_members.back().nextReport = m_clock.now() + m_random.jitter(m_quota.reportPeriod());
            }
        }
        m_admitted.resize(m_plans.size());
        refusals.resize(m_plans.size());
    }

    /// Requests of a workspace come to the members in proportion to this; empty for evenly.
    std::vector<double> weights;
    std::vector<Refusals> refusals;
    std::uint64_t messages = 0;

    WorkspacePlan &plan(std::size_t index)
    {
        return m_plans.at(index);
    }
    std::size_t size() const
    {
        return m_members.size();
    }
    /// The member loses everything that it knew.
    void restart(std::size_t index)
    {
        Member &member = m_members.at(index);
        AllowanceBudget::Settings settings;
        settings.quota = m_quota;
        member.budget = std::make_unique<AllowanceBudget>(settings, m_clock, m_random);
        member.coordinator = std::make_unique<AllowanceCoordinator>(
            m_quota, [this](const std::string &name) -> std::optional<AllowanceLimit> { return limitOf(name); }, m_clock);
        member.waiting.clear();
    }
    /// The member neither sends nor receives, and its callers get no answers.
    void setDown(std::size_t index, bool isDown)
    {
        m_members.at(index).isDown = isDown;
    }
    /// The member cannot reach others, but its callers reach it.
    void setCutOff(std::size_t index, bool isCutOff)
    {
        m_members.at(index).isCutOff = isCutOff;
    }
    /// Members of the data centre take this one for their coordinator.
    std::size_t coordinator(std::size_t dataCentre) const
    {
        for (std::size_t index = 0; index < m_members.size(); ++index) {
            const Member &member = m_members[index];
            if (member.dataCentre == dataCentre && !member.isDown && !member.isCutOff) {
                return index;
            }
        }
        return m_members.size();
    }

    void run(Duration time)
    {
        constexpr Duration Step = std::chrono::milliseconds(5);
        const TimePoint end = m_clock.now() + time;
        while (m_clock.now() < end) {
            m_clock.advance(Step);
            deliver();
            exchangeBetweenDataCentres();
            for (std::size_t index = 0; index < m_members.size(); ++index) {
                runMember(index);
            }
            arrive(Step);
        }
    }

    /// Fails where more requests of a workspace were admitted in any window than its quota allows.
    void requireWithinQuota(const std::string &what) const
    {
        for (std::size_t plan = 0; plan < m_plans.size(); ++plan) {
            const AllowanceLimit &limit = m_plans[plan].limit;
            const double seconds = std::chrono::duration<double>(m_quota.window).count();
            const double most =
                (limit.requestsPerSecond * seconds + limit.burst) * (1 + m_quota.overage) + static_cast<double>(m_quota.slack);
            const std::vector<TimePoint> &times = m_admitted[plan];
            std::size_t begin = 0;
            for (std::size_t last = 0; last < times.size(); ++last) {
                while (times[last] - times[begin] > m_quota.window) {
                    ++begin;
                }
                const auto count = static_cast<double>(last - begin + 1);
                CPPUNIT_ASSERT_MESSAGE(what + ": " + m_plans[plan].name + ": " + std::to_string(count) + " of " + std::to_string(most)
                        + " requests in one window",
                    count <= most);
            }
        }
    }
    double refusedShare(std::size_t plan) const
    {
        const Refusals &counted = refusals.at(plan);
        return counted.asked == 0 ? 0 : static_cast<double>(counted.refused) / static_cast<double>(counted.asked);
    }
    double refusedShare() const
    {
        Refusals all;
        for (const Refusals &counted : refusals) {
            all.asked += counted.asked;
            all.refused += counted.refused;
        }
        return all.asked == 0 ? 0 : static_cast<double>(all.refused) / static_cast<double>(all.asked);
    }
    void forgetRefusals()
    {
        refusals.assign(m_plans.size(), {});
    }

private:
    struct Member
    {
        std::size_t dataCentre = 0;
        std::size_t number = 0;
        std::unique_ptr<AllowanceBudget> budget;
        std::unique_ptr<AllowanceCoordinator> coordinator;
        TimePoint nextReport;
        TimePoint lastReport;
        bool isDown = false;
        bool isCutOff = false;
        /// Plan of each request that waits for a token.
        std::map<std::uint64_t, std::size_t> waiting;
    };
    struct Message
    {
        TimePoint arrivesAt;
        std::uint64_t order = 0;
        std::size_t sender = 0;
        std::size_t receiver = 0;
        FleetReportTime reported;
        std::vector<AllowanceDemand> demands;
        std::vector<AllowanceGrant> grants;
        bool isReply = false;

        bool operator>(const Message &other) const
        {
            return std::tie(arrivesAt, order) > std::tie(other.arrivesAt, other.order);
        }
    };

    std::optional<AllowanceLimit> limitOf(const std::string &name) const
    {
        for (const WorkspacePlan &plan : m_plans) {
            if (plan.name == name) {
                return plan.limit;
            }
        }
        return std::nullopt;
    }
    std::size_t membersOf(std::size_t dataCentre) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_members.begin(), m_members.end(), [&](const Member &member) { return member.dataCentre == dataCentre && !member.isDown; }));
    }
    void send(Message message)
    {
        constexpr Duration ShortestWay = std::chrono::microseconds(500);
        message.arrivesAt = m_clock.now() + ShortestWay + m_random.jitter(std::chrono::milliseconds(4));
        message.order = m_nextMessage++;
        ++messages;
        m_messages.push(std::move(message));
    }
    void deliver()
    {
        while (!m_messages.empty() && m_messages.top().arrivesAt <= m_clock.now()) {
            Message message = m_messages.top();
            m_messages.pop();
            Member &receiver = m_members[message.receiver];
            if (receiver.isDown || receiver.isCutOff || m_members[message.sender].isCutOff) {
                continue;
            }
            if (message.isReply) {
                settle(message.receiver, receiver.budget->accept(message.reported, message.grants));
                continue;
            }
            Message reply;
            reply.grants = receiver.coordinator->answer(std::to_string(message.sender), message.demands, membersOf(receiver.dataCentre));
            reply.sender = message.receiver;
            reply.receiver = message.sender;
            reply.reported = message.reported;
            reply.isReply = true;
            send(std::move(reply));
        }
    }
    void runMember(std::size_t index)
    {
        constexpr Duration ShortestPeriod = std::chrono::milliseconds(10);
        Member &member = m_members[index];
        if (member.isDown) {
            return;
        }
        settle(index, member.budget->advance());
        const TimePoint now = m_clock.now();
        const bool isWanted = member.budget->isReportWanted() && now - member.lastReport >= ShortestPeriod;
        if (now < member.nextReport && !isWanted) {
            return;
        }
        member.nextReport = now + m_quota.reportPeriod();
        member.lastReport = now;
        member.budget->setMemberCount(membersOf(member.dataCentre));
        const std::size_t target = member.isCutOff ? index : coordinator(member.dataCentre);
        const FleetReportTime reported {m_clock.uninterruptedMilliseconds()};
        std::vector<AllowanceDemand> demands = member.budget->report();
        if (target == index) {
            settle(index,
                member.budget->accept(reported, member.coordinator->answer(std::to_string(index), demands, membersOf(member.dataCentre))));
        } else if (target < m_members.size()) {
            Message message;
            message.sender = index;
            message.receiver = target;
            message.reported = reported;
            message.demands = std::move(demands);
            send(std::move(message));
        }
    }
    void exchangeBetweenDataCentres()
    {
        constexpr Duration Period = std::chrono::milliseconds(250);
        if (m_clock.now() < m_nextExchange) {
            return;
        }
        m_nextExchange = m_clock.now() + Period;
        for (std::size_t from = 0; from < m_quota.dataCentres; ++from) {
            const std::size_t asking = coordinator(from);
            if (asking >= m_members.size()) {
                continue;
            }
            for (std::size_t to = 0; to < m_quota.dataCentres; ++to) {
                const std::size_t asked = coordinator(to);
                if (to != from && asked < m_members.size()) {
                    const auto shortfalls = m_members[asking].coordinator->shortfalls();
                    m_members[asking].coordinator->borrow(m_members[asked].coordinator->lend(shortfalls));
                }
            }
        }
    }
    void arrive(Duration step)
    {
        for (std::size_t plan = 0; plan < m_plans.size(); ++plan) {
            double due = m_plans[plan].demand * std::chrono::duration<double>(step).count();
            while (due > 0) {
                if (due >= 1 || m_random.chance(due)) {
                    request(plan);
                }
                due -= 1;
            }
        }
    }
    void request(std::size_t plan)
    {
        const std::size_t index = memberForRequest();
        Member &member = m_members[index];
        if (member.isDown) {
            return;
        }
        ++refusals[plan].asked;
        const std::uint64_t id = m_nextRequest++;
        member.waiting[id] = plan;
        settle(index, {{id, member.budget->take(id, m_plans[plan].name, m_plans[plan].limit)}});
    }
    std::size_t memberForRequest()
    {
        if (weights.empty()) {
            return m_random.below(m_members.size());
        }
        double at = m_random.unit() * std::accumulate(weights.begin(), weights.end(), 0.0);
        for (std::size_t index = 0; index < weights.size(); ++index) {
            at -= weights[index];
            if (at < 0) {
                return index;
            }
        }
        return weights.size() - 1;
    }
    void settle(std::size_t index, const std::vector<AllowanceDecision> &decisions)
    {
        Member &member = m_members[index];
        for (const AllowanceDecision &decision : decisions) {
            const auto found = member.waiting.find(decision.requestId);
            if (found == member.waiting.end() || std::holds_alternative<AllowanceWaiting>(decision.verdict)) {
                continue;
            }
            const std::size_t plan = found->second;
            member.waiting.erase(found);
            if (std::holds_alternative<AllowanceAdmitted>(decision.verdict)) {
                m_admitted[plan].push_back(m_clock.now());
            } else {
                ++refusals[plan].refused;
            }
        }
    }

    Clock m_clock = Clock::manual();
    Random m_random;
    AllowanceSettings m_quota;
    std::vector<WorkspacePlan> m_plans;
    std::vector<Member> m_members;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_messages;
    std::uint64_t m_nextMessage = 0;
    std::uint64_t m_nextRequest = 1;
    TimePoint m_nextExchange;
    std::vector<std::vector<TimePoint>> m_admitted;
};

} // namespace Fuchsiastep

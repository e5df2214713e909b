#include "QuotaFleet.h"

#include <iostream>

namespace Fuchsiastep {

static constexpr std::uint64_t Seed = 20261207;
/// Of its quota, a workspace usually uses this part.
static constexpr double QuotaOverDemand = 1.6;

/// Workspaces of very different sizes: 82 with 2,000 requests a second together.
static std::vector<QuotaFleet::WorkspacePlan> skewedPlans()
{
    constexpr int Count = 82;
    constexpr double Skew = 1.2;
    constexpr double Total = 2000;
    std::vector<QuotaFleet::WorkspacePlan> plans;
    double sum = 0;
    for (int rank = 1; rank <= Count; ++rank) {
        sum += std::pow(rank, -Skew);
    }
    for (int rank = 1; rank <= Count; ++rank) {
        const double demand = Total * std::pow(rank, -Skew) / sum;
        const double rate = std::ceil(demand * QuotaOverDemand);
        plans.push_back({"workspace-" + std::to_string(rank), {rate, rate}, demand});
    }
    return plans;
}

static QuotaFleet::WorkspacePlan plan(double demand)
{
    return {"workspace", {demand * QuotaOverDemand, demand * QuotaOverDemand}, demand};
}

class TestQuotas : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestQuotas);
    CPPUNIT_TEST(testCalmRefusesNothing);
    CPPUNIT_TEST(testHotWorkspaceStaysWithinItsQuota);
    CPPUNIT_TEST(testDemandThatMoves);
    CPPUNIT_TEST(testCutOffMembers);
    CPPUNIT_TEST(testCoordinatorIsReplaced);
    CPPUNIT_TEST(testEveryMemberRestarts);
    CPPUNIT_TEST(testLowerLimit);
    CPPUNIT_TEST_SUITE_END();

    static void report(const std::string &what, const QuotaFleet &fleet)
    {
        std::cout << what << ": " << 100 * fleet.refusedShare() << "% refused, " << fleet.messages << " messages\n";
    }

    /// Guards against refusals inside the quota, of large and of small workspaces alike.
    void testCalmRefusesNothing()
    {
        struct Case
        {
            std::string name;
            std::size_t dataCentres;
            std::size_t membersEach;
            std::vector<QuotaFleet::WorkspacePlan> plans;
        };
        const std::vector<Case> cases {
            {"3 proxies", 3, 1, {plan(50)}},
            {"80 proxies, large", 3, 27, {plan(500)}},
            {"80 proxies, small", 3, 27, {plan(3)}},
            {"80 proxies, many sizes", 3, 27, skewedPlans()},
            {"1000 proxies, small", 3, 333, {plan(10)}},
            {"1000 proxies, large", 3, 333, {plan(2000)}},
        };
        for (const Case &tested : cases) {
            QuotaFleet fleet(tested.dataCentres, tested.membersEach, tested.plans, Seed);
            fleet.run(std::chrono::seconds(5));
            fleet.forgetRefusals();
            fleet.run(std::chrono::seconds(15));
            report(tested.name, fleet);
            fleet.requireWithinQuota(tested.name);
            CPPUNIT_ASSERT_MESSAGE(tested.name + ": " + std::to_string(fleet.refusedShare()), fleet.refusedShare() < 0.01);
        }
    }

    /// Guards against a workspace that sends many times its quota, through all members or a few, and at once.
    void testHotWorkspaceStaysWithinItsQuota()
    {
        constexpr double Burst = 7;
        for (const double usual : {5.0, 60.0, 500.0}) {
            for (const std::size_t through : {std::size_t(2), std::size_t(81)}) {
                const std::string name = std::to_string(usual) + " a second through " + std::to_string(through);
                QuotaFleet fleet(3, 27, {plan(usual)}, Seed);
                fleet.weights.assign(fleet.size(), 0);
                std::fill_n(fleet.weights.begin(), through, 1);
                fleet.run(std::chrono::seconds(8));
                fleet.plan(0).demand = Burst * usual;
                fleet.run(std::chrono::seconds(8));
                fleet.plan(0).demand = usual;
                fleet.run(std::chrono::seconds(8));
                report(name, fleet);
                fleet.requireWithinQuota(name);
            }
        }
    }

    /// Guards against tokens that stay where the requests were.
    void testDemandThatMoves()
    {
        QuotaFleet fleet(3, 27, {plan(300)}, Seed);
        fleet.weights.assign(fleet.size(), 1);
        fleet.run(std::chrono::seconds(5));
        // Half of the requests of one data centre move to another.
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            fleet.weights[index] = index < 27 ? 0.5 : index < 54 ? 1.5 : 1;
        }
        fleet.run(std::chrono::seconds(1));
        fleet.forgetRefusals();
        fleet.run(std::chrono::seconds(10));
        report("moved", fleet);
        fleet.requireWithinQuota("moved");
        CPPUNIT_ASSERT(fleet.refusedShare() < 0.02);
    }

    /// Guards against members that take the part of others which they cannot reach.
    void testCutOffMembers()
    {
        QuotaFleet fleet(3, 27, {plan(300)}, Seed);
        fleet.run(std::chrono::seconds(5));
        fleet.plan(0).demand = 2000;
        for (std::size_t index = 30; index < 40; ++index) {
            fleet.setCutOff(index, true);
        }
        fleet.run(std::chrono::seconds(8));
        for (std::size_t index = 30; index < 40; ++index) {
            fleet.setCutOff(index, false);
        }
        fleet.run(std::chrono::seconds(6));
        report("cut off", fleet);
        fleet.requireWithinQuota("cut off");
    }

    /// Guards against two coordinators that grant the same tokens, and against a data centre without any.
    void testCoordinatorIsReplaced()
    {
        for (const double factor : {1.0, 6.0}) {
            QuotaFleet fleet(3, 27, {plan(300), {"small", {8, 8}, 5}}, Seed);
            fleet.run(std::chrono::seconds(5));
            fleet.plan(0).demand *= factor;
            fleet.forgetRefusals();
            const std::size_t lost = fleet.coordinator(1);
            fleet.setDown(lost, true);
            fleet.run(std::chrono::seconds(4));
            fleet.restart(lost);
            fleet.setDown(lost, false);
            fleet.run(std::chrono::seconds(4));
            report("coordinator replaced, demand x " + std::to_string(factor), fleet);
            fleet.requireWithinQuota("coordinator replaced");
            if (factor == 1) {
                CPPUNIT_ASSERT(fleet.refusedShare() < 0.05);
            }
        }
    }

    /// Guards against a fleet that grants everything anew after all members have lost what they knew.
    void testEveryMemberRestarts()
    {
        QuotaFleet fleet(3, 27, {plan(300)}, Seed);
        fleet.run(std::chrono::seconds(5));
        fleet.plan(0).demand = 1500;
        for (int round = 0; round < 3; ++round) {
            for (std::size_t index = 0; index < fleet.size(); ++index) {
                fleet.restart(index);
            }
            fleet.run(std::chrono::milliseconds(1700));
        }
        report("restarted", fleet);
        fleet.requireWithinQuota("restarted");
    }

    /// Guards against tokens of an earlier limit that are used long after a lower one is in force.
    void testLowerLimit()
    {
        QuotaFleet fleet(3, 27, {plan(300)}, Seed);
        fleet.run(std::chrono::seconds(5));
        QuotaFleet lower(3, 27, {plan(300)}, Seed);
        lower.run(std::chrono::seconds(5));
        lower.plan(0).limit = {30, 30};
        const std::uint64_t before = lower.refusals[0].asked - lower.refusals[0].refused;
        lower.run(std::chrono::seconds(1));
        const std::uint64_t atOnce = lower.refusals[0].asked - lower.refusals[0].refused - before;
        // Tokens of the earlier limit end with their lifetime.
        CPPUNIT_ASSERT(atOnce <= 300);
        lower.run(std::chrono::seconds(5));
        const std::uint64_t after = lower.refusals[0].asked - lower.refusals[0].refused - before - atOnce;
        CPPUNIT_ASSERT(after <= (30 * 5 + 30) * 11 / 10 + 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestQuotas);

} // namespace Fuchsiastep

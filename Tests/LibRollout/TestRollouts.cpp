#include "RolloutFleet.h"

#include <iostream>

namespace Fuchsiastep {

static constexpr std::uint64_t Seed = 20261207;

static RolloutFleet::Answer goodAnswer(Random &, Duration, const std::string &)
{
    return {};
}

class TestRollouts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRollouts);
    CPPUNIT_TEST(testBadVersionsAreRolledBack);
    CPPUNIT_TEST(testGoodVersionsAreCompleted);
    CPPUNIT_TEST(testOrderThatComesAfterItsUpstreams);
    CPPUNIT_TEST(testDecidersThatAreLost);
    CPPUNIT_TEST(testDataCentreThatIsCutOff);
    CPPUNIT_TEST(testNothingIsSentWithoutNews);
    CPPUNIT_TEST_SUITE_END();

    static void requireExposure(const std::string &what, const RolloutFleet &fleet)
    {
        const double most = 0.1 * static_cast<double>(fleet.all()) + 50;
        std::cout << what << ": " << fleet.exposed() << " of " << fleet.all() << " requests\n";
        CPPUNIT_ASSERT_MESSAGE(what + ": " + std::to_string(fleet.exposed()) + " of " + std::to_string(fleet.all()),
            static_cast<double>(fleet.exposed()) <= most);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::uint64_t(0), fleet.exposedAfterRollbackTime());
    }

    /// Guards against a faulty version that gets more than its share, or stays in use after its fault has shown.
    void testBadVersionsAreRolledBack()
    {
        struct Case
        {
            std::string name;
            double requestsPerSecond;
            RolloutFleet::Fault fault;
        };
        const std::vector<Case> cases {
            {"errors",
                900,
                [](Random &random, Duration, const std::string &) {
                    return RolloutFleet::Answer {random.chance(0.5), 1};
                }},
            {"some errors",
                900,
                [](Random &random, Duration, const std::string &) {
                    return RolloutFleet::Answer {random.chance(0.33), 1};
                }},
            {"slow",
                900,
                [](Random &random, Duration, const std::string &) {
                    return RolloutFleet::Answer {false, random.chance(0.5) ? 8.0 : 1.0};
                }},
            {"late",
                900,
                [](Random &random, Duration age, const std::string &) {
                    return RolloutFleet::Answer {age > std::chrono::seconds(6) && random.chance(0.5), 1};
                }},
            {"one route",
                900,
                [](Random &random, Duration, const std::string &selector) {
                    return RolloutFleet::Answer {selector == "order" && random.chance(0.33), 1};
                }},
            {"errors, thin traffic",
                60,
                [](Random &random, Duration, const std::string &) {
                    return RolloutFleet::Answer {random.chance(0.5), 1};
                }},
        };
        for (const Case &tested : cases) {
            RolloutFleet fleet(tested.requestsPerSecond, tested.fault, Seed);
            fleet.warmUp();
            fleet.startRollout(Duration(0));
            fleet.run(RolloutFleet::Length);
            requireExposure(tested.name, fleet);
            CPPUNIT_ASSERT_MESSAGE(tested.name, fleet.status() == RolloutStatus::RolledBack);
        }
    }

    /// Guards against a good version that is not completed in time, and against requests that are cut off with the old one.
    void testGoodVersionsAreCompleted()
    {
        for (const double requestsPerSecond : {900.0, 60.0, 2.0}) {
            RolloutFleet fleet(requestsPerSecond, goodAnswer, Seed);
            fleet.warmUp();
            fleet.startRollout(Duration(0));
            fleet.run(RolloutFleet::Length);
            const std::string what = std::to_string(requestsPerSecond) + " a second";
            CPPUNIT_ASSERT_MESSAGE(what, fleet.status() == RolloutStatus::Completed);
            CPPUNIT_ASSERT_MESSAGE(what, fleet.statusAge() < RolloutFleet::Length);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::uint64_t(0), fleet.cutOffRequests());
            fleet.run(std::chrono::seconds(3));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::uint64_t(0), fleet.cutOffRequests());
            // Running, and then completed.
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t(2), fleet.statusWrites());
        }
    }

    /// Guards against upstreams of a new version that are used like the others until their order is read.
    void testOrderThatComesAfterItsUpstreams()
    {
        RolloutFleet fleet(
            900,
            [](Random &random, Duration, const std::string &) {
                return RolloutFleet::Answer {random.chance(0.5), 1};
            },
            Seed);
        fleet.warmUp();
        fleet.startRollout(std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fleet.exposed());
        fleet.run(RolloutFleet::Length);
        requireExposure("late order", fleet);
        CPPUNIT_ASSERT(fleet.status() == RolloutStatus::RolledBack);
    }

    /// Guards against a roll-out that has no end, or two, because the coordinators that decide are lost.
    void testDecidersThatAreLost()
    {
        for (int second = 1; second < 16; second += 2) {
            RolloutFleet fleet(900, goodAnswer, Seed);
            fleet.warmUp();
            fleet.startRollout(Duration(0));
            fleet.run(std::chrono::seconds(second));
            for (std::size_t dataCentre = 0; dataCentre < RolloutFleet::DataCentres; ++dataCentre) {
                fleet.replaceController(dataCentre);
            }
            fleet.run(RolloutFleet::Length + std::chrono::seconds(4) - std::chrono::seconds(second));
            const std::string what = "lost after " + std::to_string(second) + " s";
            CPPUNIT_ASSERT_MESSAGE(what, fleet.status() == RolloutStatus::Completed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::uint64_t(0), fleet.cutOffRequests());
            CPPUNIT_ASSERT_MESSAGE(what, fleet.statusAge() < RolloutFleet::Length);
        }
    }

    /// Guards against a data centre that goes on alone, and against a fault that is only seen in a part of the fleet.
    void testDataCentreThatIsCutOff()
    {
        RolloutFleet fleet(900, goodAnswer, Seed);
        fleet.warmUp();
        fleet.startRollout(Duration(0));
        fleet.run(std::chrono::seconds(5));
        fleet.setCutOff(1, true);
        fleet.run(std::chrono::seconds(10));
        // Without every data centre, the new version keeps its share.
        CPPUNIT_ASSERT(fleet.status() == RolloutStatus::Running);
        fleet.setCutOff(1, false);
        fleet.run(std::chrono::seconds(6));
        CPPUNIT_ASSERT(fleet.status() == RolloutStatus::Completed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fleet.cutOffRequests());
    }

    /// Guards against proxies that send requests to an unproven version without knowing what has become of it.
    void testNothingIsSentWithoutNews()
    {
        RolloutFleet fleet(900, goodAnswer, Seed);
        fleet.warmUp();
        fleet.startRollout(Duration(0));
        fleet.run(std::chrono::seconds(4));
        CPPUNIT_ASSERT(fleet.exposed() > 0);
        fleet.setPlatformDown(true);
        fleet.run(std::chrono::seconds(3));
        const std::uint64_t before = fleet.exposed();
        fleet.run(std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(before, fleet.exposed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRollouts);

} // namespace Fuchsiastep

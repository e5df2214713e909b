#include <LibRequest/LibRequest.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace Fuchsiastep {

/// What a proxy that leaves still takes, and that each request has its answer before the process ends.
class TestDrainAdmission : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDrainAdmission);
    CPPUNIT_TEST(testTakesOnlyWhatEndsInTime);
    CPPUNIT_TEST(testCallersAreAnsweredAtTheEnd);
    CPPUNIT_TEST(testPeersAreAnsweredAtTheEnd);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration Linger = std::chrono::milliseconds(2300);
    static constexpr Duration Drain = std::chrono::milliseconds(5300);

    // Guards against calls that are taken late in a drain and cut at its end, and against refused calls of runs that the
    // upstream still makes, whose parents fail with them.
    void testTakesOnlyWhatEndsInTime()
    {
        struct Case
        {
            std::string name;
            int afterMs;
            int timeLeftMs;
            int targetMs;
            bool isOfOwnRun;
            bool isTaken;
        };
        const std::vector<Case> cases {
            {"just after the start", 0, 3000, 800, false, true},
            {"long call without a target, just after the start", 0, 10'000, 0, false, false},
            {"long call with a target, just after the start", 0, 10'000, 1500, false, true},
            {"while callers learn of it", 2299, 3000, 800, false, true},
            {"callers had time to learn of it", 2300, 3000, 800, false, false},
            {"no time for twice the target", 2299, 10'000, 1600, false, false},
            {"call of a run", 4000, 600, 200, true, true},
            {"call of a run that the rest of the drain is just enough for", 4900, 600, 200, true, true},
            {"call of a run, too late", 4901, 600, 200, true, false},
            {"short time left is enough where the target is long", 4900, 400, 2000, true, true},
            {"after the end", 5301, 1, 1, true, false},
        };
        for (const Case &item : cases) {
            Clock clock = Clock::manual();
            DrainAdmission admission({Linger, Drain}, clock);
            const Duration timeLeft = std::chrono::milliseconds(item.timeLeftMs);
            const Duration target = std::chrono::milliseconds(item.targetMs);
            CPPUNIT_ASSERT_MESSAGE(item.name, admission.mayTake(timeLeft, target, item.isOfOwnRun));
            admission.start();
            clock.advance(std::chrono::milliseconds(item.afterMs));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.isTaken, admission.mayTake(timeLeft, target, item.isOfOwnRun));
        }
    }

    // Guards against callers that get no answer because the process ends first: those that were taken before the drain as
    // well as those that were taken during it.
    void testCallersAreAnsweredAtTheEnd()
    {
        Clock clock = Clock::manual();
        Random random(1);
        RoutingState routing({}, clock, random);
        UpstreamSelector selector({"dc", "region"}, routing, random);
        RequestCoordinator coordinator({}, routing, selector, clock);
        auto rules = std::make_shared<Selector>();
        rules->service = "desk";
        rules->rules.timeout = std::chrono::seconds(10);
        Route route {rules, {}};
        route.endpoints.push_back(
            std::make_shared<const Endpoint>(Endpoint {"u0", "desk", "p0", 1, "dc", "region", {}, {}, 6, false, 60000}));
        const auto shared = std::make_shared<const Route>(route);
        coordinator.handle(PeerConnected {"p0", 1, 1});
        const auto call = [&](CallerToken token) {
            return CallerRequest {token, "till", "desk", "POST", "/", {}, "key", std::nullopt, {}, shared};
        };
        coordinator.handle(call(1));
        const TimePoint end = clock.now() + Drain;
        coordinator.handle(DrainRequested {end});
        clock.advance(Linger);
        coordinator.handle(call(2));
        clock.advance(Drain - Linger - std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(coordinator.advance().empty());
        CPPUNIT_ASSERT(coordinator.nextDeadline() == end);
        clock.advance(std::chrono::milliseconds(1));
        std::size_t answers = 0;
        for (const CoordinatorOutput &output : coordinator.advance()) {
            if (const auto *answer = std::get_if<CallerAnswer>(&output)) {
                ++answers;
                // They were sent to an upstream, so that "not run" would be false.
                CPPUNIT_ASSERT(answer->outcome == RequestOutcome::Unknown);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), answers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), coordinator.inFlight());
    }

    // Guards against runs for other proxies of which these learn only by the end of the connection.
    void testPeersAreAnsweredAtTheEnd()
    {
        Clock clock = Clock::manual();
        CrashSuspects suspects({}, clock);
        UpstreamGate gate({}, suspects, clock);
        gate.handle(UpstreamAnnounced {"u", "desk", 6, 100, true});
        PeerRequest request {7, {1, "desk", "u", "till", "GET", "/", {}, {}, true, 10'000, false, {}}};
        gate.handle(request);
        CPPUNIT_ASSERT_EQUAL(1U, gate.running());
        const TimePoint end = clock.now() + Drain;
        gate.handle(DrainRequested {end});
        CPPUNIT_ASSERT(gate.nextDeadline() == end);
        clock.advance(Drain);
        std::size_t answers = 0;
        for (const GateOutput &output : gate.advance()) {
            if (const auto *answer = std::get_if<SendAnswer>(&output)) {
                ++answers;
                CPPUNIT_ASSERT(answer->frame.outcome == RequestOutcome::Unknown);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), gate.inFlight());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDrainAdmission);

} // namespace Fuchsiastep

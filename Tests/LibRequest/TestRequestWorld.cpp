#include "RequestWorld.h"

namespace Fuchsiastep {

class TestRequestWorld : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRequestWorld);
    CPPUNIT_TEST(testCountsAndAnswersUnderFaults);
    CPPUNIT_TEST(testKeyRunsAtMostOnceWhateverDies);
    CPPUNIT_TEST(testNaiveClaimsRunTwice);
    CPPUNIT_TEST(testTableOutageRefusesOrdersOnly);
    CPPUNIT_TEST(testDrainCutsNothing);
    CPPUNIT_TEST(testKillerCostsFewUpstreams);
    CPPUNIT_TEST(testRetriesInAnOutageStayWithinBudget);
    CPPUNIT_TEST_SUITE_END();

    using Point = RequestWorld::Point;

    /// Everything that was sent is told, unless its first proxy died.
    static void checkAllTold(const RequestWorld &world)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(world.message("requests without an outcome"), world.sent, world.told.size() + world.abandoned.size());
        for (const auto &caller : world.callers) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(world.message("requests left"), std::size_t(0), caller->coordinator->inFlight());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(world.message("bytes left"), std::uint64_t(0), caller->coordinator->bufferedBytes());
        }
    }

    // Guards against lost, repeated, crossed, late and truncated answers that reach a caller (I4), a false
    // "not run" (I5), counts that do not add up, and limits that are exceeded.
    void testCountsAndAnswersUnderFaults()
    {
        std::uint64_t late = 0;
        std::uint64_t crossed = 0;
        std::uint64_t unknown = 0;
        for (std::uint64_t seed = 0; seed < 400; ++seed) {
            RequestWorld::Settings settings;
            settings.answerFaults = 0.05;
            settings.platformLoss = 0.1;
            settings.staleReads = 0.1;
            RequestWorld world(seed, settings);
            for (int step = 0; step < 60; ++step) {
                const bool isOrder = world.random.chance(0.3);
                const std::string name = "request " + std::to_string(step);
                const std::size_t caller = world.random.below(world.callers.size());
                const CallerToken token = world.send(caller, isOrder ? "POST" : "GET", isOrder ? name : "", name);
                if (world.random.chance(0.05) && !world.told.contains(token)) {
                    world.abandoned.insert(token);
                    for (const CoordinatorOutput &output : world.callers[caller]->coordinator->handle(CallerGone {token})) {
                        CPPUNIT_ASSERT_MESSAGE(world.message("told after it left"), !std::holds_alternative<CallerAnswer>(output));
                    }
                }
                if (world.random.chance(0.03)) {
                    world.crashUpstream(world.random.below(world.sides.size()));
                }
                world.run(world.random.jitter(std::chrono::milliseconds(10)));
            }
            world.run(std::chrono::seconds(4));
            checkAllTold(world);
            for (const auto &caller : world.callers) {
                late += caller->coordinator->counts().lateAnswers;
                crossed += caller->coordinator->counts().crossedAnswers;
                unknown += caller->coordinator->counts().unknown;
            }
        }
        // The faults did happen.
        CPPUNIT_ASSERT(late > 100 && crossed > 100 && unknown > 100);
    }

    /// One order is sent to two proxies at once, and again later, while \a kill strikes at the given point.
    static void sendOrder(RequestWorld &world, Point point, int kill)
    {
        int strikes = 0;
        const int wanted = static_cast<int>(world.random.below(3));
        world.hook = [&world, &strikes, wanted, point, kill](Point at, std::size_t caller, std::size_t side) {
            if (at != point || strikes++ != wanted) {
                return;
            }
            if (kill == 1) {
                world.killCaller(caller);
            } else if (kill == 2) {
                world.killSide(side);
            } else if (kill == 3) {
                world.crashUpstream(side);
            }
        };
        for (int order = 0; order < 3; ++order) {
            const std::string key = "order " + std::to_string(order);
            for (int repeat = 0; repeat < 3; ++repeat) {
                world.send(0, "POST", key, key);
                world.run(world.random.jitter(std::chrono::milliseconds(4)));
                world.send(1, "POST", key, key);
                world.run(world.random.jitter(std::chrono::milliseconds(60)));
            }
        }
        world.run(std::chrono::seconds(5));
        world.hook = nullptr;
    }

    // Guards against a second run of an order (I6): double sends, a death of any process at any point, lost and
    // late table answers, stale reads, and a pause between the claim and the send.
    void testKeyRunsAtMostOnceWhateverDies()
    {
        std::uint64_t answered = 0;
        std::uint64_t orders = 0;
        for (const Point point : {Point::BeforeClaim, Point::AfterClaim, Point::FirstByte, Point::AnswerOnItsWay}) {
            for (int kill = 0; kill < 4; ++kill) {
                for (std::uint64_t seed = 0; seed < 150; ++seed) {
                    RequestWorld::Settings settings;
                    settings.platformLoss = 0.25;
                    settings.staleReads = 0.25;
                    settings.pauseAfterClaim = 0.1;
                    RequestWorld world(seed, settings);
                    sendOrder(world, point, kill);
                    checkAllTold(world);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(world.message("ran twice"), std::uint64_t(0), world.doubleRuns);
                    for (const auto &[token, told] : world.told) {
                        answered += told.outcome == RequestOutcome::Answered ? 1 : 0;
                    }
                    orders += world.sent;
                }
            }
        }
        // Safety by refusing everything would pass the checks above.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(answered) + " of " + std::to_string(orders), answered * 2 > orders);
    }

    // Shows that the seeds above do find double runs: without claims, and with a lease that expires while its
    // holder is paused.
    void testNaiveClaimsRunTwice()
    {
        for (const RequestWorld::Claims claims : {RequestWorld::Claims::None, RequestWorld::Claims::ExpiringLease}) {
            std::uint64_t doubleRuns = 0;
            for (std::uint64_t seed = 0; seed < 150; ++seed) {
                RequestWorld::Settings settings;
                settings.claims = claims;
                settings.pauseAfterClaim = 0.1;
                RequestWorld world(seed, settings);
                sendOrder(world, Point::FirstByte, 0);
                doubleRuns += world.doubleRuns;
            }
            CPPUNIT_ASSERT(doubleRuns > 0);
        }
    }

    // Guards against orders that run without a claim while the table is down, and against repeatable requests
    // that suffer from it.
    void testTableOutageRefusesOrdersOnly()
    {
        for (std::uint64_t seed = 0; seed < 100; ++seed) {
            RequestWorld::Settings settings;
            settings.isPlatformDown = true;
            RequestWorld world(seed, settings);
            for (int step = 0; step < 20; ++step) {
                const std::string name = "request " + std::to_string(step);
                const bool isOrder = step % 2 == 0;
                const CallerToken token = world.send(step % 4 / 2, isOrder ? "POST" : "GET", isOrder ? name : "", name);
                world.run(std::chrono::milliseconds(100));
                CPPUNIT_ASSERT_MESSAGE(world.message("no outcome"), world.told.contains(token));
                const RequestWorld::Told &told = world.told.at(token);
                CPPUNIT_ASSERT_MESSAGE(world.message(name), told.outcome == (isOrder ? RequestOutcome::NotRun : RequestOutcome::Answered));
                CPPUNIT_ASSERT_MESSAGE(world.message(name), !isOrder || told.code == ErrorCode::ClaimUnavailable);
            }
            // An outage that begins during a run keeps the outcome until it can be stored.
            world.settings.isPlatformDown = false;
            world.send(0, "POST", "kept", "kept");
            world.hook = [&world](Point point, std::size_t, std::size_t) {
                world.settings.isPlatformDown |= point == Point::FirstByte;
            };
            world.run(std::chrono::seconds(1));
            world.hook = nullptr;
            world.settings.isPlatformDown = false;
            world.run(std::chrono::seconds(6));
            const CallerToken again = world.send(1, "POST", "kept", "kept");
            world.run(std::chrono::seconds(1));
            CPPUNIT_ASSERT_MESSAGE(world.message("outcome kept"), world.told.at(again).outcome == RequestOutcome::Answered);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(world.message("runs"), 1, world.runsByKey["kept"]);
        }
    }

    // Guards against new work after a drain whose announcement reached nobody (I7), and against a drain that
    // cuts a request in flight (I8).
    void testDrainCutsNothing()
    {
        for (std::uint64_t seed = 0; seed < 300; ++seed) {
            RequestWorld world(seed, {});
            for (int step = 0; step < 60; ++step) {
                const bool isOrder = world.random.chance(0.3);
                const std::string name = "request " + std::to_string(step);
                world.send(world.random.below(2), isOrder ? "POST" : "GET", isOrder ? name : "", name);
                world.run(world.random.jitter(std::chrono::milliseconds(8)));
                if (step == 20) {
                    world.drain(0);
                }
            }
            world.run(std::chrono::seconds(3));
            checkAllTold(world);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(world.message("drain"), std::uint64_t(1), world.drainsFinished);
            CPPUNIT_ASSERT_MESSAGE(world.message("ledger"), world.sides[0]->ledger->isIdle());
            for (const auto &[token, told] : world.told) {
                CPPUNIT_ASSERT_MESSAGE(world.message("cut"), told.outcome == RequestOutcome::Answered);
            }
        }
    }

    // Guards against one request that crashes each upstream that it reaches, sent again and again to every
    // proxy, among innocent ones that must be answered.
    void testKillerCostsFewUpstreams()
    {
        std::size_t answered = 0;
        for (std::uint64_t seed = 0; seed < 200; ++seed) {
            RequestWorld::Settings settings;
            settings.callers = 4;
            settings.upstreams = 8;
            RequestWorld world(seed, settings);
            world.isKiller = [](const RequestFrame &frame) {
                return frame.body == "killer";
            };
            std::vector<CallerToken> innocents;
            for (int step = 0; step < 200; ++step) {
                innocents.push_back(world.send(world.random.below(4), "GET", "", "innocent " + std::to_string(step % 10)));
                if (step % 5 == 0) {
                    world.send(world.random.below(4), "GET", "", "killer");
                }
                world.run(std::chrono::milliseconds(20) + world.random.jitter(std::chrono::milliseconds(40)));
            }
            world.run(std::chrono::seconds(3));
            checkAllTold(world);
            // Three for the request itself, and those sent elsewhere before the word had spread.
            CPPUNIT_ASSERT_MESSAGE(world.message("upstreams lost " + std::to_string(world.crashes)), world.crashes <= 6);
            for (const CallerToken token : innocents) {
                CPPUNIT_ASSERT_MESSAGE(world.message("innocent held off"), world.told.at(token).code != ErrorCode::RequestHeldOff);
                // One that shared its upstream with the killer is answered, or has used every retry of its rules.
                const RequestWorld::Told &told = world.told.at(token);
                CPPUNIT_ASSERT_MESSAGE(
                    world.message("innocent gave up early"), told.outcome == RequestOutcome::Answered || told.tries == 3);
                answered += told.outcome == RequestOutcome::Answered ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT_MESSAGE("innocents answered " + std::to_string(answered), answered >= 200 * 200 * 999 / 1000);
    }

    // Guards against retries that multiply an outage: every upstream is gone, and each try fails.
    void testRetriesInAnOutageStayWithinBudget()
    {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            RequestWorld::Settings settings;
            settings.callers = 1;
            RequestWorld world(seed, settings);
            for (std::size_t side = 0; side < world.sides.size(); ++side) {
                world.post(side, UpstreamLost {});
            }
            const TimePoint start = world.clock.now();
            for (int step = 0; step < 2000; ++step) {
                world.send(0, "GET", "", "request");
                world.run(std::chrono::milliseconds(5));
            }
            const RequestCounts &counts = world.callers[0]->coordinator->counts();
            const double seconds = std::chrono::duration<double>(world.clock.now() - start).count();
            CPPUNIT_ASSERT_MESSAGE(world.message("tries " + std::to_string(counts.tries)),
                static_cast<double>(counts.tries) <= 1.2 * 2000 + 3 * (seconds + 1));
            CPPUNIT_ASSERT_MESSAGE(world.message("retries happen"), counts.retries > 100);
            CPPUNIT_ASSERT_EQUAL(counts.received, counts.notRun + world.callers[0]->coordinator->inFlight());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestWorld);

} // namespace Fuchsiastep

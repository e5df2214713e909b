#include "DocumentFleet.h"
#include "ProcessTest.h"
#include "ReportingUpstream.h"

using namespace Fuchsiastep;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Proxies = 4;
constexpr std::size_t BesideUpstream = 0;
/// An upstream gets no request later than this after its departure was acknowledged.
constexpr Duration DrainTime = std::chrono::seconds(2);
constexpr Duration Limit = std::chrono::seconds(10);

enum class LastWord {
    Deregistered,
    ReportedDraining,
    /// The upstream goes on, so that the new process must use it.
    None,
};

enum class LateReport {
    BeforeReady,
    WhenReady,
};

struct Case
{
    std::string name;
    LastWord lastWord;
    int signal;
    /// Time from the acknowledgement to the signal.
    Duration signalAfter;
    LateReport lateReport;
    /// Proxies that end together with the one beside the upstream.
    DocumentFleet::Indices others;
    /// Another upstream starts at the address of the first.
    bool hasSuccessor = false;
    /// The platform's store goes away before the departure.
    bool isStoreAway = false;
};

} // namespace

/// An upstream leaves, and the proxy beside it ends and starts again while the upstream still serves.
class TestDepartures : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDepartures);
    CPPUNIT_TEST(outlastTheProcess);
    CPPUNIT_TEST(areAcknowledgedInTime);
    CPPUNIT_TEST(bindReportsThatComeLater);
    CPPUNIT_TEST_SUITE_END();

    static void check(const Case &item)
    {
        const Clock clock = Clock::system();
        DocumentFleet fleet(Proxies);
        fleet.writeVersion(1, {{"/orders/", "order-desk"}});
        fleet.start(fleet.all());
        fleet.awaitReady(fleet.all());
        fleet.awaitMembers();
        ReportingUpstream upstream(fleet, BesideUpstream);
        std::uint64_t sequence = 10;
        const auto isServed = [&] {
            upstream.report("ready", ++sequence);
            return upstream.isReached();
        };
        CPPUNIT_ASSERT_MESSAGE(withSeed(item.name + ": not used before"), DocumentFleet::waitUntil(isServed, Limit));

        if (item.isStoreAway) {
            fleet.store.goAway();
        }
        const std::uint64_t lateSequence = sequence + 1;
        sequence += 10;
        if (item.lastWord == LastWord::Deregistered) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed(item.name), 200U, upstream.deregister());
        } else if (item.lastWord == LastWord::ReportedDraining) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed(item.name), 200U, upstream.report("draining", ++sequence));
        }
        const TimePoint acknowledgedAt = clock.now();
        DocumentFleet::wait(item.signalAfter);
        DocumentFleet::Indices ended = item.others;
        ended.push_back(BesideUpstream);
        fleet.signal(ended, item.signal);
        fleet.awaitEnd(ended);
        fleet.start(ended);
        if (item.lateReport == LateReport::WhenReady) {
            fleet.awaitReady(ended);
        }
        if (item.lastWord == LastWord::None) {
            CPPUNIT_ASSERT_MESSAGE(withSeed(item.name + ": not used after"), DocumentFleet::waitUntil(isServed, Limit));
            return;
        }
        // Written before the departure, and arriving in another order.
        for (const std::uint64_t late : {lateSequence + 1, lateSequence, lateSequence + 2}) {
            upstream.report("ready", late);
            DocumentFleet::wait(milliseconds(300));
            const bool isReached = upstream.isReached();
            const bool isLate = clock.now() - acknowledgedAt > DrainTime;
            CPPUNIT_ASSERT_MESSAGE(withSeed(item.name + ": a request after the departure"), !isReached || !isLate);
        }
        const auto isReached = [&] {
            return clock.now() - acknowledgedAt > DrainTime && upstream.isReached();
        };
        const bool isUsed = DocumentFleet::waitUntil(isReached, acknowledgedAt + 2 * DrainTime - clock.now());
        CPPUNIT_ASSERT_MESSAGE(withSeed(item.name + ": a request after the departure"), !isUsed);
        if (item.hasSuccessor) {
            upstream.startAnew("i-successor");
            sequence = 0;
            CPPUNIT_ASSERT_MESSAGE(withSeed(item.name + ": the successor is not used"), DocumentFleet::waitUntil(isServed, Limit));
        }
    }

    // Guards against a restarted proxy that takes a late report of an upstream, whose departure its earlier process
    // acknowledged, for news and sends requests to it; and against one that does not use an upstream that serves, or the
    // successor of one that left.
    void outlastTheProcess()
    {
        const std::vector<Case> cases {
            {"deregistered, killed", LastWord::Deregistered, SIGKILL, milliseconds(300), LateReport::WhenReady, {}, true},
            {"deregistered, killed at once", LastWord::Deregistered, SIGKILL, milliseconds(0), LateReport::BeforeReady, {}},
            {"draining, killed at once", LastWord::ReportedDraining, SIGKILL, milliseconds(0), LateReport::WhenReady, {}},
            {"deregistered, stopped", LastWord::Deregistered, SIGTERM, milliseconds(0), LateReport::BeforeReady, {}},
            {"deregistered, killed with another", LastWord::Deregistered, SIGKILL, milliseconds(0), LateReport::WhenReady, {2}},
            {"deregistered, killed while the store is away",
                LastWord::Deregistered,
                SIGKILL,
                milliseconds(300),
                LateReport::BeforeReady,
                {},
                false,
                true},
            {"deregistered, killed with all others", LastWord::Deregistered, SIGKILL, milliseconds(300), LateReport::WhenReady, {1, 2, 3}},
            {"serving, killed with all others", LastWord::None, SIGKILL, milliseconds(0), LateReport::BeforeReady, {1, 2, 3}},
            {"serving, killed", LastWord::None, SIGKILL, milliseconds(0), LateReport::WhenReady, {}},
        };
        for (const Case &item : cases) {
            check(item);
        }
    }

    struct LaterReport
    {
        std::string name;
        /// The store is away while the proxy and its upstream start, so that the first report is held back.
        bool isStoreAway;
        bool isKilled;
    };

    static void check(const LaterReport &item)
    {
        const Clock clock = Clock::system();
        DocumentFleet fleet(Proxies);
        fleet.writeVersion(1, {{"/orders/", "order-desk"}});
        fleet.start(fleet.allBut({BesideUpstream}));
        fleet.awaitReady(fleet.allBut({BesideUpstream}));
        const std::uint64_t revision = fleet.store.revision();
        if (item.isStoreAway) {
            fleet.store.goAway();
        }
        fleet.start({BesideUpstream});
        ReportingUpstream upstream(fleet, BesideUpstream);
        std::uint64_t sequence = 0;
        if (!item.isStoreAway) {
            fleet.awaitReady({BesideUpstream});
            fleet.awaitMembers();
        } else {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed(item.name), 200U, upstream.report("ready", ++sequence));
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed(item.name), 200U, upstream.deregisterWithoutStart());
        const TimePoint acknowledgedAt = clock.now();
        if (item.isStoreAway) {
            fleet.store.comeBack(revision);
            fleet.awaitReady({BesideUpstream});
            fleet.awaitMembers();
        }
        if (item.isKilled) {
            fleet.signal({BesideUpstream}, SIGKILL);
            fleet.awaitEnd({BesideUpstream});
            fleet.start({BesideUpstream});
        }
        fleet.awaitReady({BesideUpstream});
        const TimePoint lateAt = std::max(clock.now(), acknowledgedAt + DrainTime);
        while (clock.now() < lateAt + DrainTime) {
            upstream.report("ready", ++sequence);
            DocumentFleet::wait(milliseconds(300));
            const bool isReached = upstream.isReached();
            const bool isLate = clock.now() - acknowledgedAt > DrainTime;
            CPPUNIT_ASSERT_MESSAGE(withSeed(item.name + ": a request after the departure"), !isReached || !isLate);
        }
        upstream.startAnew(upstream.id());
        sequence = 0;
        const auto isServed = [&] {
            upstream.report("ready", ++sequence);
            return upstream.isReached();
        };
        CPPUNIT_ASSERT_MESSAGE(withSeed(item.name + ": the next start is not used"), DocumentFleet::waitUntil(isServed, Limit));
    }

    // Guards against an upstream that gets requests after its departure was acknowledged, because its reports were held back or
    // on their way at that moment and the departure named no start.
    void bindReportsThatComeLater()
    {
        const std::vector<LaterReport> cases {
            {"no report before the departure", false, false},
            {"no report before the departure, killed", false, true},
            {"report held while the store is away", true, false},
            {"report held while the store is away, killed after it came back", true, true},
        };
        for (const LaterReport &item : cases) {
            check(item);
        }
    }

    // Guards against an upstream whose departure is not acknowledged, which then waits for seconds before it ends, because no
    // other proxy answers and the store is away.
    void areAcknowledgedInTime()
    {
        DocumentFleet fleet(Proxies);
        fleet.writeVersion(1, {{"/orders/", "order-desk"}});
        fleet.start(fleet.all());
        fleet.awaitReady(fleet.all());
        fleet.awaitMembers();
        ReportingUpstream upstream(fleet, BesideUpstream);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed("report"), 200U, upstream.report("ready", 1));
        fleet.store.goAway();
        fleet.signal(fleet.allBut({BesideUpstream}), SIGSTOP);
        // Without an answer after a second the status is 0.
        CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed("draining"), 200U, upstream.report("draining", 2));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed("deregistered"), 200U, upstream.deregister());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDepartures);

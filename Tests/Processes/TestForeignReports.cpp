#include "DocumentFleet.h"
#include "ProcessTest.h"
#include "ReportingUpstream.h"

using namespace Fuchsiastep;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Proxies = 2;
constexpr std::size_t BesideUpstream = 0;
/// The default of the settings.
constexpr Duration Interval = std::chrono::seconds(1);
/// Reports of an upstream that serves until it must be used again after another writer took its place.
constexpr int ReportsToRecover = 5;
constexpr Duration Limit = std::chrono::seconds(10);
constexpr std::int64_t HourMs = 3'600'000;
constexpr const char *UnknownService = "no-such-service";

struct Case
{
    std::string name;
    ReportingUpstream::Foreign report;
    /// The proxy starts again, and the report of the other writer is the first one that it hears.
    bool isFirst = false;
    /// The upstream must be used all the while.
    bool holds = true;
};

} // namespace

/// Another writer reports an upstream at the address of the one that is there.
class TestForeignReports : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestForeignReports);
    CPPUNIT_TEST(doNotDisplaceTheUpstream);
    CPPUNIT_TEST(serviceMayBeConfiguredLater);
    CPPUNIT_TEST_SUITE_END();

    static void check(const Case &item)
    {
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
        if (item.isFirst) {
            fleet.signal({BesideUpstream}, SIGKILL);
            fleet.awaitEnd({BesideUpstream});
            fleet.start({BesideUpstream});
        }
        upstream.report(item.report);
        if (item.isFirst) {
            fleet.awaitReady({BesideUpstream});
        }
        bool isUsed = false;
        for (int report = 0; report < ReportsToRecover; ++report) {
            isUsed = isServed();
            const bool mustBeUsed = item.holds && !item.isFirst;
            CPPUNIT_ASSERT_MESSAGE(withSeed(item.name + ": not used at report " + std::to_string(report)), isUsed || !mustBeUsed);
            DocumentFleet::wait(Interval);
        }
        CPPUNIT_ASSERT_MESSAGE(withSeed(item.name + ": not used after"), isUsed);
    }

    // Guards against one report of another writer that takes the upstream out until the proxy starts again.
    void doNotDisplaceTheUpstream()
    {
        constexpr std::int64_t Later = ReportingUpstream::FirstStart + 5000;
        constexpr std::int64_t Ahead = ReportingUpstream::FirstStart + HourMs;
        const std::vector<Case> cases {
            {"unknown service", {"i-other", UnknownService, Later}},
            {"unknown service, id of the upstream", {"i-desk", UnknownService, Later}},
            {"unknown service, id and start of the upstream", {"i-desk", UnknownService, ReportingUpstream::FirstStart, "ready", 1000}},
            {"unknown service, draining", {"i-other", UnknownService, Later, "draining"}},
            {"unknown service, draining as the upstream", {"i-desk", UnknownService, ReportingUpstream::FirstStart, "draining", 1000}},
            {"unknown service, start ahead of the clock", {"i-other", UnknownService, Ahead}},
            {"unknown service, first report after a restart", {"i-other", UnknownService, Later}, true},
            {"unknown service, draining, first report after a restart", {"i-other", UnknownService, Ahead, "draining"}, true},
            {"start ahead of the clock", {"i-other", "order-desk", Ahead}, false, false},
            {"draining, start ahead of the clock", {"i-other", "order-desk", Ahead, "draining"}, false, false},
            {"start ahead of the clock, first report after a restart", {"i-other", "order-desk", Ahead}, true, false},
        };
        for (const Case &item : cases) {
            check(item);
        }
    }

    // Guards against an upstream that stays unused because it started before a version named its service, and against one that
    // is used although it said before that version that it leaves.
    void serviceMayBeConfiguredLater()
    {
        for (const bool isLeaving : {false, true}) {
            DocumentFleet fleet(Proxies);
            fleet.writeVersion(1, {{"/parts/", "parts-desk"}});
            fleet.start(fleet.all());
            fleet.awaitReady(fleet.all());
            fleet.awaitMembers();
            ReportingUpstream upstream(fleet, BesideUpstream);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed("ready"), 200U, upstream.report("ready", 1));
            if (isLeaving) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed("draining"), 200U, upstream.report("draining", 2));
            }
            fleet.writeVersion(2, {{"/orders/", "order-desk"}});
            fleet.requireHeld(fleet.all(), 2, Limit);
            const bool isUsed = DocumentFleet::waitUntil([&] { return upstream.isReached(); }, std::chrono::seconds(2));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed(isLeaving ? "left before" : "serves"), !isLeaving, isUsed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestForeignReports);

#include "DocumentFleet.h"
#include "ProcessTest.h"

#include <Support/ScriptedUpstream.h>

using namespace Fuchsiastep;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Proxies = 4;
constexpr std::size_t BesideUpstream = 0;
constexpr std::size_t CallerSide = 1;
/// An upstream gets no request later than this after its departure was acknowledged.
constexpr Duration DrainTime = std::chrono::seconds(2);
constexpr Duration Limit = std::chrono::seconds(10);
constexpr std::int64_t Born = 1'700'000'000'000;

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
};

/// An upstream beside a proxy, which answers each request and counts them.
class Upstream
{
public:
    explicit Upstream(DocumentFleet &fleet)
        : m_fleet(fleet), m_server([this](std::size_t, std::size_t) {
            ++m_arrivals;
            return ScriptedUpstream::Reply {"HTTP/1.1 200 OK\r\nRequest-Id: 0123456789abcdef\r\nContent-Length: 4\r\n\r\ndone"};
        })
    { }

    unsigned report(const std::string &state, std::uint64_t sequence)
    {
        return m_fleet.report(BesideUpstream,
            "i-desk",
            "heartbeat",
            {{"address", m_server.address().toString()},
                {"born", Born},
                {"info", JsonValue::Object {{"service", "order-desk"}, {"version", "v1"}, {"zone", "tivoli"}, {"maxConcurrency", 4}}},
                {"status", JsonValue::Object {{"state", state}, {"sequence", sequence}, {"coldLeftMs", 0}}}});
    }
    unsigned deregister()
    {
        return m_fleet.report(BesideUpstream, "i-desk", "deregister", {{"born", Born}});
    }
    /// Whether a request of a caller reaches the upstream.
    bool isReached()
    {
        const std::size_t before = m_arrivals;
        m_fleet.request(CallerSide, "/orders/1");
        return m_arrivals > before;
    }

private:
    DocumentFleet &m_fleet;
    std::size_t m_arrivals = 0;
    ScriptedUpstream m_server;
};

} // namespace

/// An upstream leaves, and the proxy beside it ends and starts again while the upstream still serves.
class TestDepartures : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDepartures);
    CPPUNIT_TEST(outlastTheProcess);
    CPPUNIT_TEST_SUITE_END();

    static void check(const Case &item)
    {
        const Clock clock = Clock::system();
        DocumentFleet fleet(Proxies);
        fleet.writeVersion(1, {{"/orders/", "order-desk"}});
        fleet.start(fleet.all());
        fleet.awaitReady(fleet.all());
        fleet.awaitMembers();
        Upstream upstream(fleet);
        std::uint64_t sequence = 10;
        const auto isServed = [&] {
            upstream.report("ready", ++sequence);
            return upstream.isReached();
        };
        CPPUNIT_ASSERT_MESSAGE(withSeed(item.name + ": not used before"), DocumentFleet::waitUntil(isServed, Limit));

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
        // Written before the departure, in a changed order, and half a second apart.
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
    }

    // Guards against a restarted proxy that takes a late report of an upstream, whose departure its earlier process
    // acknowledged, for news and sends requests to it; and against one that no longer uses an upstream that serves.
    void outlastTheProcess()
    {
        const std::vector<Case> cases {
            {"deregistered, killed", LastWord::Deregistered, SIGKILL, milliseconds(300), LateReport::WhenReady, {}},
            {"deregistered, killed at once", LastWord::Deregistered, SIGKILL, milliseconds(0), LateReport::BeforeReady, {}},
            {"draining, killed at once", LastWord::ReportedDraining, SIGKILL, milliseconds(0), LateReport::WhenReady, {}},
            {"deregistered, stopped", LastWord::Deregistered, SIGTERM, milliseconds(0), LateReport::BeforeReady, {}},
            {"deregistered, killed with another", LastWord::Deregistered, SIGKILL, milliseconds(0), LateReport::WhenReady, {2}},
            {"deregistered, killed with all others", LastWord::Deregistered, SIGKILL, milliseconds(300), LateReport::WhenReady, {1, 2, 3}},
            {"serving, killed with all others", LastWord::None, SIGKILL, milliseconds(0), LateReport::BeforeReady, {1, 2, 3}},
            {"serving, killed", LastWord::None, SIGKILL, milliseconds(0), LateReport::WhenReady, {}},
        };
        for (const Case &item : cases) {
            check(item);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDepartures);

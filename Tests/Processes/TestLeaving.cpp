#include "ProcessTest.h"

#include <csignal>

using namespace Fuchsiastep;

namespace {

constexpr Duration Limit = std::chrono::seconds(60);
constexpr std::int64_t NewWorkLimitMs = 3000; // I7: no new work after a few seconds.
constexpr std::uint32_t Upstreams = 4;
constexpr std::size_t CallerSide = Upstreams; // The one proxy without an upstream.
constexpr std::size_t Leaving = 0;

enum class Departure {
    OperatorDrain,
    ProxySignal,
    UpstreamSignal,
};

/// Lookups that follow each other until they are told to stop.
class SteadyLoad
{
public:
    explicit SteadyLoad(FleetClient &client) : m_client(client)
    {
        constexpr int AtOnce = 8;
        for (int i = 0; i < AtOnce; ++i) {
            sendNext();
        }
    }

    bool stop()
    {
        m_isStopping = true;
        return runLoopUntil([this] { return m_active == 0; }, Limit);
    }
    std::size_t answered() const
    {
        return m_answered;
    }
    /// Outcomes other than answered, which the retries of the caller side must prevent.
    const std::vector<std::string> &failures() const
    {
        return m_failures;
    }

private:
    void sendNext()
    {
        ++m_active;
        HttpCall call = m_client.callThrough(CallerSide, "order-desk", "/lookup/" + std::to_string(m_sent++));
        m_client.http().send(std::move(call), [this](const HttpReply &reply) {
            --m_active;
            if (reply.header("fuchsiastep-outcome") == "answered" && reply.status == 200) {
                ++m_answered;
            } else {
                m_failures.push_back(std::to_string(reply.status) + ' ' + reply.body);
            }
            if (!m_isStopping) {
                sendNext();
            }
        });
    }

    FleetClient &m_client;
    std::size_t m_sent = 0;
    std::size_t m_active = 0;
    std::size_t m_answered = 0;
    bool m_isStopping = false;
    std::vector<std::string> m_failures;
};

/// Requests that take longer than the departure.
class SlowRequests
{
public:
    SlowRequests(FleetClient &client, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            client.http().send(client.callThrough(CallerSide, "order-desk", "/slow/2000/" + std::to_string(i)),
                [this, i](const HttpReply &reply) { receive(i, reply); });
        }
        m_missing = count;
    }

    bool wait()
    {
        return runLoopUntil([this] { return m_missing == 0; }, Limit);
    }
    const std::vector<std::string> &failures() const
    {
        return m_failures;
    }

private:
    void receive(std::size_t number, const HttpReply &reply)
    {
        --m_missing;
        const bool isWhole = reply.body.find("/slow/2000/" + std::to_string(number) + '"') != std::string::npos;
        if (reply.status != 200 || !isWhole) {
            m_failures.push_back("in flight: " + std::to_string(reply.status) + ' ' + reply.body);
        }
    }

    std::size_t m_missing = 0;
    std::vector<std::string> m_failures;
};

void depart(LabSession &lab, Departure departure)
{
    if (departure == Departure::UpstreamSignal) {
        lab.fleet.signalUpstreams({Leaving}, SIGTERM);
    } else if (departure == Departure::ProxySignal) {
        lab.fleet.signalProxies({Leaving}, SIGTERM);
    } else {
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + lab.fleet.at(Leaving).control.toString() + "/v1/operator/drain";
        CPPUNIT_ASSERT_EQUAL(202U, lab.client.http().fetch(std::move(call)).status);
    }
}

} // namespace

class TestLeaving : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLeaving);
    CPPUNIT_TEST(operatorDrain);
    CPPUNIT_TEST(proxySignal);
    CPPUNIT_TEST(upstreamSignal);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a drain that cuts off requests in flight, fails callers whose requests other upstreams could
    /// take, or lets new work reach the upstream.
    static void check(Departure departure)
    {
        LabSession lab(testPlan(Upstreams), testOptions(Upstreams + 1));
        requireDone(lab.tryOpen());
        SlowRequests slow(lab.client, 10);
        const auto isBusy = [&lab] {
            return lab.client.upstreamRuns(Leaving)["running"] > 0;
        };
        CPPUNIT_ASSERT_MESSAGE(withSeed("nothing in flight at the upstream"), runLoopUntil(isBusy, Limit));
        SteadyLoad load(lab.client);
        const auto hasRun = [&load] {
            return load.answered() > 200;
        };
        CPPUNIT_ASSERT_MESSAGE(withSeed("no load"), runLoopUntil(hasRun, Limit));
        CPPUNIT_ASSERT_MESSAGE(withSeed("nothing is in flight any more"), isBusy());

        const Clock clock = Clock::system();
        const std::int64_t departedMs = clock.unixMilliseconds();
        depart(lab, departure);
        CPPUNIT_ASSERT_MESSAGE(withSeed("slow requests without a reply"), slow.wait());
        LabProcess &process = departure == Departure::UpstreamSignal ? *lab.fleet.at(Leaving).upstream : *lab.fleet.at(Leaving).proxy;
        CPPUNIT_ASSERT_MESSAGE(withSeed("the process did not end"), process.waitForExit(Limit));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed("exit status"), 0, process.exitStatus().value_or(-1));
        // The load goes on beyond the limit, so that late work would show.
        runLoopUntil([&] { return clock.unixMilliseconds() > departedMs + 2 * NewWorkLimitMs; }, Limit);
        CPPUNIT_ASSERT_MESSAGE(withSeed("lookups without a reply"), load.stop());

        CPPUNIT_ASSERT_MESSAGE(withSeed(joined(slow.failures())), slow.failures().empty());
        CPPUNIT_ASSERT_MESSAGE(withSeed(joined(load.failures())), load.failures().empty());
        for (const LoggedRun &run : readRunLog(lab.fleet.runLogOf(Leaving))) {
            const std::int64_t lateMs = run.unixMs - departedMs;
            CPPUNIT_ASSERT_MESSAGE(withSeed("new work after " + std::to_string(lateMs) + " ms"), lateMs <= NewWorkLimitMs);
        }
    }

    void operatorDrain()
    {
        check(Departure::OperatorDrain);
    }
    void proxySignal()
    {
        check(Departure::ProxySignal);
    }
    void upstreamSignal()
    {
        check(Departure::UpstreamSignal);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLeaving);

#include "KeptCaller.h"
#include "ProcessTest.h"

#include <csignal>
#include <deque>

using namespace Fuchsiastep;

namespace {

constexpr Duration Limit = std::chrono::seconds(60);
constexpr std::uint32_t Upstreams = 3;
constexpr std::size_t Leaving = 0;

/// Orders that differ in how long they run and how long their callers wait.
struct OrderKind
{
    std::string name;
    int runMs;
    int deadlineMs;
};

std::string orderText(const OrderKind &kind, const std::string &key)
{
    const std::string body = "{}";
    return "POST /v1/call/order-desk/slow/" + std::to_string(kind.runMs) + "/" + key
        + " HTTP/1.1\r\nHost: x\r\nfuchsiastep-caller: till\r\n" + "fuchsiastep-deadline-ms: " + std::to_string(kind.deadlineMs)
        + "\r\nidempotency-key: " + key + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

/// A planned stop of one proxy in calm, with callers that use their kept connections until the process is gone.
class TestPlannedStop : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlannedStop);
    CPPUNIT_TEST(everyOrderThatRanHasItsAnswer);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against orders that are taken late in the grace, passed on to an upstream, and cut without an answer when the
    /// process ends.
    void everyOrderThatRanHasItsAnswer()
    {
        DeploymentPlan plan = testPlan(Upstreams);
        plan.limits = {{"grace_s", 3}, {"linger_ms", 1500}};
        LabSession lab(plan, testOptions(Upstreams));
        requireDone(lab.tryOpen());

        const std::vector<OrderKind> kinds {{"short", 50, 1000}, {"long", 400, 2000}, {"longer than the grace", 4000, 5000}};
        std::size_t sent = 0;
        std::deque<KeptCaller> callers;
        for (const OrderKind &kind : kinds) {
            constexpr int CallersOfKind = 3;
            for (int caller = 0; caller < CallersOfKind; ++caller) {
                callers.emplace_back(lab.fleet.at(Leaving).callers, [&sent, &kind] {
                    const std::string key = "order-" + std::to_string(++sent);
                    return std::pair(orderText(kind, key), key);
                });
            }
        }
        constexpr Duration Calm = std::chrono::milliseconds(1000);
        runLoopUntil([] { return false; }, Calm);
        lab.fleet.signalProxies({Leaving}, SIGTERM);
        CPPUNIT_ASSERT_MESSAGE(withSeed("the process did not end"), lab.fleet.at(Leaving).proxy->waitForExit(Limit));
        const auto areStopped = [&callers] {
            return std::all_of(callers.begin(), callers.end(), [](const KeptCaller &caller) { return caller.isStopped(); });
        };
        CPPUNIT_ASSERT_MESSAGE(withSeed("a caller is still connected"), runLoopUntil(areStopped, Limit));

        std::map<std::string, std::uint64_t> runs;
        for (const std::size_t index : lab.fleet.all()) {
            countRuns(readRunLog(lab.fleet.runLogOf(index)), runs);
        }
        std::vector<std::string> failures;
        std::map<std::uint16_t, std::size_t> byStatus;
        for (const KeptCaller &caller : callers) {
            for (const KeptCaller::Ended &ended : caller.ended()) {
                ++byStatus[ended.status];
                const bool isRefusal = ended.status == 503;
                const std::uint64_t runsOfKey = runs.contains(ended.key) ? runs.at(ended.key) : 0;
                if (runsOfKey > 1 || (runsOfKey == 1 && (ended.status == 0 || isRefusal))) {
                    failures.push_back(ended.key + " ran " + std::to_string(runsOfKey) + " times and was told "
                        + std::to_string(ended.status) + ' ' + ended.body);
                }
            }
        }
        CPPUNIT_ASSERT_MESSAGE(withSeed(joined(failures)), failures.empty());
        CPPUNIT_ASSERT_MESSAGE(withSeed("no order was answered"), byStatus[200] > 0);
        CPPUNIT_ASSERT_MESSAGE(withSeed("no order was refused"), byStatus[503] > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlannedStop);

#include "ProcessTest.h"

#include <algorithm>
#include <csignal>

using namespace Fuchsiastep;

namespace {

constexpr Duration SendInterval = std::chrono::milliseconds(50);
constexpr Duration RestartDelay = std::chrono::seconds(1);
constexpr Duration SpreadTime = std::chrono::seconds(3);
/// Crashes after which a request counts as the cause of them.
constexpr std::size_t CrashesThatBlame = 3;
/// Runs that may follow once every proxy has had time to learn of them.
constexpr std::size_t MaximumLaterRuns = 3;

/// Sends the same request to proxies in random order. It ends each upstream that runs it, and these are started again.
class CrashingLoad
{
public:
    explicit CrashingLoad(LabSession &lab) : m_lab(lab), m_random(testSeed()), m_endedAt(lab.fleet.size())
    { }

    void run(Duration length)
    {
        const TimePoint end = m_clock.now() + length;
        while (m_clock.now() < end) {
            send();
            runLoopUntil([] { return false; }, SendInterval);
            restartEnded();
        }
    }

    std::size_t crashes() const
    {
        return m_crashTimes.size();
    }
    /// Runs that began later than SpreadTime after the last of the crashes that blame the request.
    std::size_t laterRuns() const
    {
        if (m_crashTimes.size() < CrashesThatBlame) {
            return 0;
        }
        const std::int64_t from =
            m_crashTimes[CrashesThatBlame - 1] + std::chrono::duration_cast<std::chrono::milliseconds>(SpreadTime).count();
        std::size_t runs = 0;
        for (const std::size_t index : m_lab.fleet.all()) {
            const std::vector<LoggedRun> log = readRunLog(m_lab.fleet.runLogOf(index));
            runs +=
                static_cast<std::size_t>(std::count_if(log.begin(), log.end(), [from](const LoggedRun &run) { return run.unixMs > from; }));
        }
        return runs;
    }

private:
    void send()
    {
        HttpCall call = m_lab.client.callThrough(m_random.below(m_lab.fleet.size()), "order-desk", "/lookup/1");
        call.headers["fuchsiastep-test"] = "crash";
        m_lab.client.http().send(std::move(call), [](const HttpReply &) {});
    }

    void restartEnded()
    {
        Fleet::Indices due;
        for (const std::size_t index : m_lab.fleet.all()) {
            if (m_lab.fleet.at(index).isUpstreamRunning()) {
                continue;
            }
            if (!m_endedAt[index]) {
                m_endedAt[index] = m_clock.now();
                m_crashTimes.push_back(m_clock.unixMilliseconds());
            } else if (m_clock.now() >= *m_endedAt[index] + RestartDelay) {
                m_endedAt[index].reset();
                due.push_back(index);
            }
        }
        requireDone(m_lab.fleet.tryStartUpstreams(due));
    }

    LabSession &m_lab;
    Clock m_clock = Clock::system();
    Random m_random;
    std::vector<std::optional<TimePoint>> m_endedAt;
    /// Unix milliseconds.
    std::vector<std::int64_t> m_crashTimes;
};

} // namespace

class TestCrashingRequest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCrashingRequest);
    CPPUNIT_TEST(isHeldOffInEveryDataCentre);
    CPPUNIT_TEST(isHeldOffAfterTheFleetRestarts);
    CPPUNIT_TEST(runsAloneAfterTwoCrashes);
    CPPUNIT_TEST_SUITE_END();

    /// Sends the request, restarts proxies, and sends it on.
    static void check(const std::vector<std::string> &restartedDataCentres)
    {
        constexpr std::uint32_t Upstreams = 12;
        DeploymentPlan plan = testPlan(Upstreams);
        plan.dataCentres = {"tivoli", "mallow", "kent-yard"};
        LabSession lab(plan, testOptions(Upstreams));
        requireDone(lab.tryOpen());
        CrashingLoad load(lab);
        load.run(std::chrono::seconds(12));
        Fleet::Indices restarted = lab.fleet.all();
        std::erase_if(restarted, [&](std::size_t index) {
            const std::string &dataCentre = lab.fleet.at(index).dataCentre;
            return std::find(restartedDataCentres.begin(), restartedDataCentres.end(), dataCentre) == restartedDataCentres.end();
        });
        lab.fleet.signalProxies(restarted, SIGKILL);
        requireDone(lab.fleet.tryStartProxies(restarted));
        load.run(std::chrono::seconds(12));
        const std::string text = "crashes " + std::to_string(load.crashes()) + ", runs after the first " + std::to_string(CrashesThatBlame)
            + " were known " + std::to_string(load.laterRuns());
        CPPUNIT_ASSERT_MESSAGE(withSeed(text), load.crashes() >= CrashesThatBlame);
        CPPUNIT_ASSERT_MESSAGE(withSeed(text), load.laterRuns() <= MaximumLaterRuns);
    }

    /// Guards against a request that goes on crashing upstreams because proxies of other data centres, and proxies that
    /// have restarted, do not learn of its earlier crashes.
    void isHeldOffInEveryDataCentre()
    {
        check({"mallow"});
    }
    /// The same where no proxy is left that knows of them.
    void isHeldOffAfterTheFleetRestarts()
    {
        check({"tivoli", "mallow", "kent-yard"});
    }

    /// Guards against a proxy that sends the request on before it knows of the crash, so that none of its tries is alone and
    /// more upstreams are needed to find the cause.
    void runsAloneAfterTwoCrashes()
    {
        constexpr std::uint32_t Upstreams = 8;
        LabSession lab(testPlan(Upstreams), testOptions(Upstreams));
        requireDone(lab.tryOpen());
        for (int request = 0; request < 5; ++request) {
            HttpCall call = lab.client.callThrough(0, "order-desk", "/lookup/1");
            call.headers["fuchsiastep-test"] = "crash";
            lab.client.http().fetch(std::move(call));
        }
        const Fleet::Indices all = lab.fleet.all();
        const auto crashes =
            std::count_if(all.begin(), all.end(), [&](std::size_t index) { return !lab.fleet.at(index).isUpstreamRunning(); });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed("crashes"), CrashesThatBlame, static_cast<std::size_t>(crashes));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCrashingRequest);

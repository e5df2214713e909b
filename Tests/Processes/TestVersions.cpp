#include "ProcessTest.h"

#include <csignal>

using namespace Fuchsiastep;

namespace {

constexpr Duration Limit = std::chrono::seconds(30);

/// Proxies without upstreams, with a watch on every version that they report.
struct WatchedLab
{
    explicit WatchedLab(std::size_t proxies) : lab(testPlan(1), optionsFor(proxies)), random(testSeed())
    {
        requireDone(lab.tryOpen());
        lab.client.setObserver([this](const FleetClient::Statuses &statuses) { watch.observe(statuses); });
        lab.client.statuses(lab.fleet.all());
    }

    static FleetOptions optionsFor(std::size_t proxies)
    {
        FleetOptions options = testOptions(proxies);
        options.hasUpstreams = false;
        return options;
    }

    /// Submits a change through a proxy and returns its version.
    std::uint64_t change(std::size_t through, int number)
    {
        const Result<AcceptedChange> accepted = lab.client.trySubmitLabel(through, "order-desk", std::to_string(number));
        CPPUNIT_ASSERT_MESSAGE(withSeed(isError(accepted) ? describe(errorOf(accepted)) : ""), !isError(accepted));
        return valueOf(accepted).version;
    }

    void requireHeld(const Fleet::Indices &indices, std::uint64_t version)
    {
        CPPUNIT_ASSERT_MESSAGE(
            withSeed("version " + std::to_string(version) + " is not held"), lab.client.waitUntilHeld(indices, version, Limit));
    }

    void requireNoViolation() const
    {
        CPPUNIT_ASSERT_MESSAGE(withSeed(joined(watch.violations())), watch.violations().empty());
    }

    LabSession lab;
    VersionWatch watch;
    Random random;
};

Fleet::Indices without(Fleet::Indices indices, std::size_t excluded)
{
    std::erase(indices, excluded);
    return indices;
}

} // namespace

class TestVersions : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestVersions);
    CPPUNIT_TEST(restartWithoutPlatform);
    CPPUNIT_TEST(readyProxyKnowsTheUpstreams);
    CPPUNIT_TEST(frozenReader);
    CPPUNIT_TEST(burstOfChanges);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a restarted proxy that says that it is ready and refuses calls because it knows no upstreams yet.
    void readyProxyKnowsTheUpstreams()
    {
        constexpr std::size_t WithoutUpstream = 2;
        LabSession lab(testPlan(2), testOptions(3));
        requireDone(lab.tryOpen());
        for (int round = 0; round < 5; ++round) {
            lab.fleet.signalProxies({WithoutUpstream}, SIGKILL);
            requireDone(lab.fleet.tryStartProxies({WithoutUpstream}));
            const auto isReady = [&lab] {
                HttpCall question;
                question.url = "http://" + lab.fleet.at(WithoutUpstream).control.toString() + "/ready";
                return lab.client.http().fetch(std::move(question)).status == 200;
            };
            CPPUNIT_ASSERT_MESSAGE(withSeed("not ready"), runLoopUntil(isReady, Limit));
            const HttpReply reply = lab.client.http().fetch(lab.client.callThrough(WithoutUpstream, "order-desk", "/lookup/1"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed("round " + std::to_string(round) + ": " + reply.body), 200U, reply.status);
        }
    }

    /// Guards against a restarted proxy that serves an older version, or none, while the platform is down and
    /// only its peers know the newest one.
    void restartWithoutPlatform()
    {
        WatchedLab watched(6);
        LabSession &lab = watched.lab;
        const std::uint64_t version = watched.change(0, 1);
        watched.requireHeld(lab.fleet.all(), version);
        CPPUNIT_ASSERT(lab.client.setPlatformFaults(JsonValue::Object {{"down", true}}));
        for (int round = 0; round < 3; ++round) {
            const std::size_t victim = watched.random.below(lab.fleet.size());
            lab.fleet.signalProxies({victim}, SIGKILL);
            watched.watch.allowEmpty(victim);
            requireDone(lab.fleet.tryStartProxies({victim}));
            CPPUNIT_ASSERT_MESSAGE(withSeed("not ready without the platform: " + lab.fleet.at(victim).proxyId),
                lab.client.waitUntilReady(lab.fleet.all(), Limit));
            watched.requireHeld(lab.fleet.all(), version);
        }
        watched.requireNoViolation();
    }

    /// Guards against a reader that was paused over several changes and puts its old version, or an old read of
    /// the platform, back in force on itself or on others when it resumes.
    void frozenReader()
    {
        WatchedLab watched(6);
        LabSession &lab = watched.lab;
        for (int round = 0; round < 2; ++round) {
            Fleet::Indices readers;
            for (const auto &[index, status] : lab.client.statuses(lab.fleet.all())) {
                if (status && status->isReader) {
                    readers.push_back(index);
                }
            }
            CPPUNIT_ASSERT_MESSAGE(withSeed("no proxy says that it is a reader"), !readers.empty());
            const std::size_t frozen = readers.at(watched.random.below(readers.size()));
            const Fleet::Indices others = without(lab.fleet.all(), frozen);
            std::uint64_t version = 0;
            lab.fleet.signalProxies({frozen}, SIGSTOP);
            for (int number = 0; number < 5; ++number) {
                version = watched.change(others.at(watched.random.below(others.size())), round * 10 + number);
                watched.requireHeld(others, version);
            }
            lab.fleet.signalProxies({frozen}, SIGCONT);
            watched.requireHeld(lab.fleet.all(), version);
            CPPUNIT_ASSERT_MESSAGE(withSeed("not ready after the pause"), lab.client.waitUntilReady(lab.fleet.all(), Limit));
        }
        watched.requireNoViolation();
    }

    /// Guards against a proxy that stays behind for good after many versions in quick succession, when the deltas
    /// that reach it no longer start from the version it holds.
    void burstOfChanges()
    {
        constexpr int Changes = 50;
        WatchedLab watched(13);
        LabSession &lab = watched.lab;
        for (int round = 0; round < 3; ++round) {
            std::uint64_t version = 0;
            for (int number = 0; number < Changes; ++number) {
                version = watched.change(watched.random.below(lab.fleet.size()), round * Changes + number);
            }
            watched.requireHeld(lab.fleet.all(), version);
        }
        watched.requireNoViolation();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestVersions);

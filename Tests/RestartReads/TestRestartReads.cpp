#include <Processes/ProcessTest.h>

#include <csignal>

using namespace Fuchsiastep;

namespace {

constexpr Duration Limit = std::chrono::seconds(90);

/// Kills a whole fleet and starts it again; returns the platform reads until all of it is ready.
std::uint64_t readsOfRestart(std::size_t proxies)
{
    FleetOptions options = testOptions(proxies);
    options.hasUpstreams = false;
    LabSession lab(testPlan(1), options);
    requireDone(lab.tryOpen());
    lab.fleet.signalProxies(lab.fleet.all(), SIGKILL);
    const std::uint64_t before = FleetClient::readsOf(lab.client.platformCounters());
    requireDone(lab.fleet.tryStartProxies(lab.fleet.all()));
    const std::uint64_t version = lab.version;
    const auto isBack = [version](const ProxyStatus &status) {
        return status.isReady && status.version >= version;
    };
    CPPUNIT_ASSERT_MESSAGE(withSeed("not ready after the restart"), lab.client.waitUntil(lab.fleet.all(), isBack, Limit));
    return FleetClient::readsOf(lab.client.platformCounters()) - before;
}

} // namespace

class TestRestartReads : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRestartReads);
    CPPUNIT_TEST(readsDoNotGrowWithTheFleet);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a restart of the whole fleet that loads the platform in proportion to the fleet.
    void readsDoNotGrowWithTheFleet()
    {
        const std::uint64_t small = readsOfRestart(16);
        const std::uint64_t large = readsOfRestart(64);
        const std::string text = "reads at 16 proxies " + std::to_string(small) + ", at 64 " + std::to_string(large);
        CPPUNIT_ASSERT_MESSAGE(withSeed(text), large < 2 * small);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRestartReads);

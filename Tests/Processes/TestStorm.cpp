#include "ProcessTest.h"

#include <csignal>
#include <iostream>

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
    VersionWatch watch;
    lab.client.setObserver([&watch](const FleetClient::Statuses &statuses) { watch.observe(statuses); });
    lab.client.statuses(lab.fleet.all());
    lab.fleet.signalProxies(lab.fleet.all(), SIGKILL);
    for (const std::size_t index : lab.fleet.all()) {
        watch.allowEmpty(index);
    }
    const auto before = lab.client.platformCounters();
    requireDone(lab.fleet.tryStartProxies(lab.fleet.all()));
    const std::uint64_t version = lab.version;
    const auto isBack = [version](const ProxyStatus &status) {
        return status.isReady && status.version >= version;
    };
    CPPUNIT_ASSERT_MESSAGE(withSeed("not ready after the restart"), lab.client.waitUntil(lab.fleet.all(), isBack, Limit));
    const auto after = lab.client.platformCounters();
    CPPUNIT_ASSERT_MESSAGE(withSeed(joined(watch.violations())), watch.violations().empty());
    for (const auto &[name, value] : after) {
        std::cerr << ' ' << name << '=' << value - before.at(name);
    }
    std::cerr << '\n';
    return FleetClient::readsOf(after) - FleetClient::readsOf(before);
}

} // namespace

class TestStorm : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStorm);
    CPPUNIT_TEST(wholeFleetRestarts);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a restart that never ends, that overloads the platform in proportion to the fleet, or after
    /// which a proxy holds a lower version.
    void wholeFleetRestarts()
    {
        const std::uint64_t small = readsOfRestart(16);
        const std::uint64_t large = readsOfRestart(64);
        std::cerr << " reads " << small << " and " << large << ' ';
        CPPUNIT_ASSERT_MESSAGE(
            withSeed("reads at 16 proxies " + std::to_string(small) + ", at 64 " + std::to_string(large)), large < 2 * small);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStorm);

#include "PlacementReplay.h"

#include <iostream>
#include <map>

namespace Fuchsiastep {

/// Placement under the load of a busy day.
class TestPlacementReplay : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlacementReplay);
    CPPUNIT_TEST(testFleetNearCapacity);
    CPPUNIT_TEST(testManyProxiesWithOldReports);
    CPPUNIT_TEST_SUITE_END();

    // Guards against proxies that take an upstream for idle because its last report is old. In a fleet each pair of proxy
    // and upstream exchanges a request every few seconds only, and the fastest upstreams then draw the work of all
    // proxies: their queues grow while slots elsewhere stay free.
    void testFleetNearCapacity()
    {
        struct Case
        {
            std::string name;
            std::size_t proxies;
            std::size_t upstreams;
            /// Share of the slots that the work fills.
            double utilization;
        };
        const std::vector<Case> cases {
            {"small deployment", 13, 9, 0.75},
            {"grown deployment", 59, 45, 0.75},
            {"grown deployment near capacity", 59, 45, 0.88},
        };
        for (const Case &item : cases) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                PlacementReplay::Load load;
                load.proxies = item.proxies;
                load.upstreams = item.upstreams;
                // The mean speed is 1.
                const double capacity = static_cast<double>(load.upstreams * load.slots) / std::chrono::duration<double>(load.work).count();
                load.requestsPerSecond = item.utilization * capacity;
                const PlacementReplay::Result informed = PlacementReplay(load, seed).run(true);
                const PlacementReplay::Result naive = PlacementReplay(load, seed).run(false);
                const std::string label = item.name + ", seed " + std::to_string(seed) + ": in target "
                    + std::to_string(informed.shareInTarget()) + " (at random " + std::to_string(naive.shareInTarget()) + "), mean wait "
                    + std::to_string(informed.meanWait().count() / 1000) + " ms (" + std::to_string(naive.meanWait().count() / 1000) + ")";
                std::cout << '\n' << label;
                // The work fits the slots, so that on the mean a request waits for a small part of a run.
                CPPUNIT_ASSERT_MESSAGE(label, informed.meanWait() < load.work / 3);
                CPPUNIT_ASSERT_MESSAGE(label, informed.shareInTarget() > naive.shareInTarget());
                CPPUNIT_ASSERT_MESSAGE(label, informed.shareInTarget() > 0.9);
            }
        }
    }

    // Guards against many proxies that choose the same upstream at the same moment: 100 proxies and 30 uneven upstreams, of
    // which each proxy hears only by the answers to its own requests.
    void testManyProxiesWithOldReports()
    {
        struct Case
        {
            std::string name;
            double utilization;
            int workMs;
            int targetMs;
            std::vector<double> speeds;
        };
        const std::vector<Case> cases {
            {"70 ms, 50%", 0.5, 70, 300, {0.5, 1, 1, 1.5}},
            {"70 ms, 80%", 0.8, 70, 300, {0.5, 1, 1, 1.5}},
            {"70 ms, 105%", 1.05, 70, 300, {0.5, 1, 1, 1.5}},
            {"170 ms, 80%", 0.8, 170, 1000, {0.7, 0.7, 1.6}},
            {"28 ms, 80%", 0.8, 28, 150, {0.6, 1, 1.4}},
        };
        for (const Case &item : cases) {
            std::map<std::size_t, PlacementReplay::Result> results;
            for (const std::size_t sampleSize : {0U, 2U, 3U, 4U, 8U}) {
                PlacementReplay::Load load;
                load.proxies = 100;
                load.upstreams = 30;
                load.slots = 4;
                load.work = std::chrono::milliseconds(item.workMs);
                load.target = std::chrono::milliseconds(item.targetMs);
                load.speeds = item.speeds;
                load.isTargetKept = true;
                load.hasDeclineMemory = true;
                load.sampleSize = sampleSize;
                const double capacity = static_cast<double>(load.upstreams * load.slots) / std::chrono::duration<double>(load.work).count();
                load.requestsPerSecond = item.utilization * capacity;
                PlacementReplay::Result result = PlacementReplay(load, 1).run(true);
                std::cout << '\n'
                          << item.name << ", sample " << sampleSize << ": in target " << result.shareInTarget() << ", largest over mean "
                          << result.meanLargestOverMean() << ", uneven " << result.unevenShare() << ", wait p50 "
                          << result.wait(0.5).count() / 1000 << " p99 " << result.wait(0.99).count() / 1000 << " ms, offers a run "
                          << result.offersPerRun() << ", most offers in a second " << result.mostOffersInSecond;
                results.emplace(sampleSize, std::move(result));
            }
            const PlacementReplay::Result &whole = results.at(0);
            const PlacementReplay::Result &sampled = results.at(3);
            CPPUNIT_ASSERT_MESSAGE(item.name, sampled.meanLargestOverMean() < whole.meanLargestOverMean());
            CPPUNIT_ASSERT_MESSAGE(item.name, sampled.unevenShare() < whole.unevenShare());
            CPPUNIT_ASSERT_MESSAGE(item.name, sampled.offersPerRun() < whole.offersPerRun());
            // Some requests meet a slow upstream that a comparison of all would avoid.
            CPPUNIT_ASSERT_MESSAGE(item.name, sampled.shareInTarget() > whole.shareInTarget() - 0.01);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlacementReplay);

} // namespace Fuchsiastep

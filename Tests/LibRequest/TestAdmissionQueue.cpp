#include <LibRequest/AdmissionQueue.h>

#include <LibCore/Random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <vector>

namespace Fuchsiastep {

class TestAdmissionQueue : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAdmissionQueue);
    CPPUNIT_TEST(testOrder);
    CPPUNIT_TEST(testUrgentFloodStarvesNobody);
    CPPUNIT_TEST(testWorkAheadMatchesFullScan);
    CPPUNIT_TEST(testBurstOfOneWorkspaceStarvesNobody);
    CPPUNIT_TEST(testPlacesAreSharedAmongWorkspaces);
    CPPUNIT_TEST_SUITE_END();

    static AdmissionQueue::Entry entry(LocalId id, RequestPriority priority, int dueMs, int serviceMs = 100)
    {
        return {id, priority, TimePoint(std::chrono::milliseconds(dueMs)), std::chrono::milliseconds(serviceMs)};
    }

    // Guards against urgent requests behind others, and against requests that miss their time behind later ones.
    void testOrder()
    {
        AdmissionQueue queue;
        queue.push(entry(1, RequestPriority::Low, 100));
        queue.push(entry(2, RequestPriority::High, 900));
        queue.push(entry(3, RequestPriority::High, 300));
        queue.push(entry(4, RequestPriority::Normal, 200));
        CPPUNIT_ASSERT(queue.excessFor(RequestPriority::High, {}) == LocalId(1));
        CPPUNIT_ASSERT(!queue.excessFor(RequestPriority::Low, {}));
        for (const LocalId expected : {3, 2, 4, 1}) {
            CPPUNIT_ASSERT(queue.pop() == expected);
        }
        CPPUNIT_ASSERT(!queue.pop() && queue.isEmpty());
    }

    // Guards against a kind of request that gets nothing while urgent ones fill the upstream.
    void testUrgentFloodStarvesNobody()
    {
        AdmissionQueue queue;
        LocalId next = 1;
        std::map<bool, int> starts;
        for (int step = 0; step < 1000; ++step) {
            // Twice as much arrives as starts; the low ones are due first because they have waited longest.
            queue.push(entry(next * 2, RequestPriority::High, 1000 + step));
            queue.push(entry(next * 2 + 1, RequestPriority::Low, 500 + step));
            ++next;
            ++starts[*queue.pop() % 2 == 1];
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(starts[true]), starts[true] >= 1000 / 4 / 2);
        CPPUNIT_ASSERT(starts[false] > starts[true]);
    }

    // Guards against an estimate that drifts from what is queued, over seeded histories.
    void testWorkAheadMatchesFullScan()
    {
        for (std::uint64_t seed = 0; seed < 300; ++seed) {
            Random random(seed);
            AdmissionQueue queue;
            std::map<LocalId, AdmissionQueue::Entry> naive;
            for (LocalId id = 1; id <= 120; ++id) {
                if (random.chance(0.6)) {
                    const auto item = entry(id,
                        static_cast<RequestPriority>(random.below(3)),
                        static_cast<int>(random.below(50)),
                        1 + static_cast<int>(random.below(300)));
                    queue.push(item);
                    naive[id] = item;
                } else if (random.chance(0.5) && !naive.empty()) {
                    const auto removed = std::next(naive.begin(), static_cast<std::ptrdiff_t>(random.below(naive.size())));
                    queue.remove(removed->second);
                    naive.erase(removed);
                } else if (const auto popped = queue.pop()) {
                    naive.erase(*popped);
                }
                const auto priority = static_cast<RequestPriority>(random.below(3));
                const TimePoint dueAt {std::chrono::milliseconds(static_cast<int>(random.below(50)))};
                Duration expected {0};
                for (const auto &[key, item] : naive) {
                    const bool isAhead = item.priority > priority || (item.priority == priority && item.dueAt <= dueAt);
                    expected += isAhead ? item.service : Duration(0);
                }
                const std::string message = "seed " + std::to_string(seed);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, expected.count(), queue.workAhead({0, priority, dueAt}).count());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, naive.size(), queue.size());
            }
        }
    }

    // Guards against one workspace that sends many times its usual and takes every slot and place: 31 workspaces, one of which
    // sends seven times its share, at an upstream that serves what the others send.
    void testBurstOfOneWorkspaceStarvesNobody()
    {
        constexpr std::size_t Workspaces = 31;
        constexpr std::size_t Places = 32;
        constexpr double HotFactor = 7;
        constexpr int Rounds = 20'000;
        AdmissionQueue queue;
        Random random(20261207);
        std::map<LocalId, AdmissionQueue::Entry> waiting;
        std::map<std::string, std::pair<int, int>> servedOfAsked;
        LocalId next = 1;
        const auto arrive = [&](const std::string &workspace, int round) {
            AdmissionQueue::Entry item = entry(next++, RequestPriority::Normal, round + 300, 50 + static_cast<int>(random.below(100)));
            item.workspace = workspace;
            ++servedOfAsked[workspace].second;
            if (queue.size() >= Places) {
                const std::optional<LocalId> excess = queue.excessFor(item.priority, workspace);
                if (!excess) {
                    return;
                }
                queue.remove(waiting.at(*excess));
                waiting.erase(*excess);
            }
            queue.push(item);
            waiting[item.localId] = item;
        };
        for (int round = 0; round < Rounds; ++round) {
            for (std::size_t workspace = 0; workspace < Workspaces; ++workspace) {
                const double share = (workspace == 0 ? HotFactor : 1) / static_cast<double>(Workspaces);
                if (random.chance(share)) {
                    arrive("workspace-" + std::to_string(workspace), round);
                }
            }
            if (const std::optional<LocalId> started = queue.pop()) {
                ++servedOfAsked[waiting.at(*started).workspace].first;
                waiting.erase(*started);
            }
        }
        double mean = 0;
        for (const auto &[workspace, counts] : servedOfAsked) {
            mean += static_cast<double>(counts.first) / static_cast<double>(Workspaces);
        }
        for (const auto &[workspace, counts] : servedOfAsked) {
            const std::string what = workspace + ": " + std::to_string(counts.first) + " of " + std::to_string(counts.second);
            CPPUNIT_ASSERT_MESSAGE(what, counts.first >= mean / 4);
            // The others are served as without the burst, whose own requests bear the lack of room.
            CPPUNIT_ASSERT_MESSAGE(what, workspace == "workspace-0" || counts.first >= counts.second * 0.9);
        }
    }

    // Guards against a request that takes the place of one of a workspace with no more requests than its own.
    void testPlacesAreSharedAmongWorkspaces()
    {
        AdmissionQueue queue;
        const auto push = [&queue](LocalId id, const std::string &workspace) {
            AdmissionQueue::Entry item = entry(id, RequestPriority::Normal, static_cast<int>(id));
            item.workspace = workspace;
            queue.push(item);
        };
        push(1, "north");
        push(2, "north");
        push(3, "north");
        push(4, "south");
        CPPUNIT_ASSERT(queue.excessFor(RequestPriority::Normal, "west") == LocalId(3));
        CPPUNIT_ASSERT(queue.excessFor(RequestPriority::Normal, "south") == LocalId(3));
        CPPUNIT_ASSERT(!queue.excessFor(RequestPriority::Normal, "north"));
        push(5, "south");
        CPPUNIT_ASSERT(!queue.excessFor(RequestPriority::Normal, "south"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdmissionQueue);

} // namespace Fuchsiastep

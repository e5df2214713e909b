#include <LibProxy/AnnouncementHold.h>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace Fuchsiastep {

class TestAnnouncementHold : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAnnouncementHold);
    CPPUNIT_TEST(testStartOfTheProxy);
    CPPUNIT_TEST_SUITE_END();

    enum class Kind {
        Ready,
        Draining,
        WithoutLifetime,
        /// The departures of earlier processes become known.
        Known,
    };
    struct Step
    {
        int atMs;
        Kind kind;
        std::int64_t started;
        std::uint64_t sequence;
        /// Whether the announcement passes; of Known, whether one was held.
        bool passes;
    };

    // Guards against a starting proxy that believes one announcement which was sent before a departure, and against one that
    // leaves an upstream unused although it keeps announcing itself.
    void testStartOfTheProxy()
    {
        constexpr Duration Interval = std::chrono::seconds(1);
        const std::vector<std::pair<std::string, std::vector<Step>>> histories {
            {"departures known first", {{0, Kind::Known, 0, 0, false}, {10, Kind::Ready, 10, 40, true}}},
            {"departures known later", {{0, Kind::Ready, 10, 40, false}, {10, Kind::Known, 0, 0, true}, {20, Kind::Ready, 10, 41, true}}},
            {"one late announcement", {{0, Kind::Ready, 10, 40, false}, {5000, Kind::Ready, 10, 40, false}}},
            {"several that were delayed together",
                {{0, Kind::Ready, 10, 40, false}, {1, Kind::Ready, 10, 42, false}, {2, Kind::Ready, 10, 41, false}}},
            {"out of order", {{0, Kind::Ready, 10, 40, false}, {1000, Kind::Ready, 10, 39, false}}},
            {"an upstream that serves",
                {{0, Kind::Ready, 10, 40, false}, {900, Kind::Ready, 10, 41, true}, {901, Kind::Ready, 10, 40, true}}},
            {"a late one of an earlier start",
                {{0, Kind::Ready, 10, 40, false},
                    {1000, Kind::Ready, 20, 1, false},
                    {1100, Kind::Ready, 10, 41, false},
                    {2000, Kind::Ready, 20, 2, true}}},
            {"draining", {{0, Kind::Draining, 10, 40, true}, {1000, Kind::Ready, 10, 39, false}}},
            {"no lifetime", {{0, Kind::WithoutLifetime, 0, 0, true}}},
        };
        for (const auto &[name, steps] : histories) {
            AnnouncementHold hold(Interval);
            for (std::size_t i = 0; i < steps.size(); ++i) {
                const Step &step = steps[i];
                const std::string message = name + ", step " + std::to_string(i);
                if (step.kind == Kind::Known) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.passes, hold.release().has_value());
                    continue;
                }
                UpstreamAnnouncement announcement;
                announcement.upstreamId = "u";
                announcement.isDraining = step.kind == Kind::Draining;
                if (step.kind != Kind::WithoutLifetime) {
                    announcement.lifetime = UpstreamLifetime {step.started, step.sequence};
                }
                const TimePoint now {std::chrono::milliseconds(step.atMs)};
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.passes, hold.mayPass(announcement, now));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAnnouncementHold);

} // namespace Fuchsiastep

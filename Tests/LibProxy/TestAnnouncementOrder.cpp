#include <LibProxy/AnnouncementOrder.h>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace Fuchsiastep {

class TestAnnouncementOrder : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAnnouncementOrder);
    CPPUNIT_TEST(testLateAnnouncements);
    CPPUNIT_TEST_SUITE_END();

    enum class Kind {
        Ready,
        Draining,
        Departure,
        /// A departure that an earlier process acknowledged.
        Restored,
    };
    struct Step
    {
        Kind kind;
        std::string upstream;
        std::int64_t started; // 0 where a departure names no start.
        std::uint64_t sequence;
        bool isAccepted;
        bool isDraining;
    };

    // Guards against late announcements that bring a leaving upstream back or end the one that took its place.
    void testLateAnnouncements()
    {
        const std::vector<std::pair<std::string, std::vector<Step>>> histories {
            {"in order", {{Kind::Ready, "u", 10, 1, true, false}, {Kind::Ready, "u", 10, 2, true, false}}},
            {"late copy",
                {{Kind::Ready, "u", 10, 2, true, false}, {Kind::Ready, "u", 10, 1, false, false}, {Kind::Ready, "u", 10, 2, false, false}}},
            {"late ready after draining",
                {{Kind::Ready, "u", 10, 1, true, false},
                    {Kind::Draining, "u", 10, 3, true, true},
                    {Kind::Ready, "u", 10, 2, false, false},
                    {Kind::Ready, "u", 10, 4, true, true}}},
            {"ready after departure",
                {{Kind::Ready, "u", 10, 1, true, false}, {Kind::Departure, "u", 10, 0, true, true}, {Kind::Ready, "u", 10, 2, true, true}}},
            {"new start of the same id",
                {{Kind::Draining, "u", 10, 5, true, true},
                    {Kind::Ready, "u", 20, 1, true, false},
                    {Kind::Ready, "u", 10, 9, false, false}}},
            {"departure of an earlier start", {{Kind::Ready, "u", 20, 1, true, false}, {Kind::Departure, "u", 10, 0, false, false}}},
            {"restored departure of a newer start",
                {{Kind::Ready, "u", 10, 7, true, false},
                    {Kind::Restored, "v", 20, 0, true, true},
                    {Kind::Ready, "u", 10, 8, false, false}}},
            {"restored departure of the current start",
                {{Kind::Ready, "u", 10, 7, true, false}, {Kind::Restored, "u", 10, 0, true, true}, {Kind::Ready, "u", 10, 8, true, true}}},
            {"restored departure of an earlier start",
                {{Kind::Ready, "v", 20, 1, true, false},
                    {Kind::Restored, "u", 10, 0, false, false},
                    {Kind::Ready, "v", 20, 2, true, false}}},
            {"restored departure before anything else",
                {{Kind::Restored, "u", 10, 0, true, true}, {Kind::Ready, "u", 10, 4, true, true}, {Kind::Ready, "v", 20, 1, true, false}}},
            {"departure of another upstream that says to be newer",
                {{Kind::Ready, "u", 10, 7, true, false},
                    {Kind::Departure, "v", 20, 0, false, false},
                    {Kind::Ready, "u", 10, 8, true, false}}},
            {"departure of another upstream", {{Kind::Ready, "v", 20, 1, true, false}, {Kind::Departure, "u", 10, 0, false, false}}},
            {"replacement",
                {{Kind::Ready, "u", 10, 7, true, false}, {Kind::Ready, "v", 20, 1, true, false}, {Kind::Ready, "u", 10, 8, false, false}}},
            {"departure before anything else", {{Kind::Departure, "u", 10, 0, true, true}, {Kind::Ready, "u", 10, 4, true, true}}},
            {"late ready after a departure without a start",
                {{Kind::Departure, "u", 0, 0, true, true},
                    {Kind::Ready, "u", 10, 40, true, true},
                    {Kind::Ready, "u", 10, 39, false, false},
                    {Kind::Ready, "u", 10, 41, true, true},
                    {Kind::Ready, "u", 20, 1, true, false}}},
            {"new start after a departure without a start",
                {{Kind::Departure, "u", 0, 0, true, true}, {Kind::Ready, "u", 10, 2, true, false}}},
            {"replacement after a departure without a start",
                {{Kind::Departure, "u", 0, 0, true, true}, {Kind::Ready, "v", 10, 9, true, false}}},
            {"departure without a start of the current upstream",
                {{Kind::Ready, "u", 10, 7, true, false}, {Kind::Departure, "u", 0, 0, true, true}, {Kind::Ready, "u", 10, 8, true, true}}},
        };
        for (const auto &[name, steps] : histories) {
            AnnouncementOrder order;
            for (std::size_t i = 0; i < steps.size(); ++i) {
                const Step &step = steps[i];
                const std::string message = name + ", step " + std::to_string(i);
                const std::optional<UpstreamLifetime> lifetime =
                    step.started == 0 ? std::nullopt : std::optional(UpstreamLifetime {step.started, step.sequence});
                if (step.kind == Kind::Departure) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.isAccepted, order.acceptDeparture(step.upstream, lifetime));
                    continue;
                }
                if (step.kind == Kind::Restored) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.isAccepted, order.restoreDeparture(step.upstream, lifetime));
                    continue;
                }
                UpstreamAnnouncement announcement;
                announcement.upstreamId = step.upstream;
                announcement.lifetime = lifetime;
                announcement.isDraining = step.kind == Kind::Draining;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.isAccepted, order.accept(announcement));
                if (step.isAccepted) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.isDraining, announcement.isDraining);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAnnouncementOrder);

} // namespace Fuchsiastep

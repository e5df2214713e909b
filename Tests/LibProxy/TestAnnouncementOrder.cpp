#include <LibProxy/AnnouncementOrder.h>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace Fuchsiastep {

class TestAnnouncementOrder : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAnnouncementOrder);
    CPPUNIT_TEST(testLateAnnouncements);
    CPPUNIT_TEST(testStartsThatGoOn);
    CPPUNIT_TEST(testDeparturesToldToMembers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration Interval = std::chrono::seconds(1);

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
        std::uint64_t sequence; // Of a departure that names no start, the time of the acknowledgement.
        bool isAccepted; // Of a departure, whether the current start leaves.
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
            {"late draining after a later ready",
                {{Kind::Ready, "u", 10, 9, true, false},
                    {Kind::Draining, "u", 10, 5, true, true},
                    {Kind::Draining, "u", 10, 6, false, true},
                    {Kind::Ready, "u", 10, 10, true, true}}},
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
                {{Kind::Departure, "u", 0, 15, false, false},
                    {Kind::Ready, "u", 10, 40, true, true},
                    {Kind::Ready, "u", 10, 39, false, false},
                    {Kind::Ready, "u", 10, 41, true, true},
                    {Kind::Ready, "u", 20, 1, true, false}}},
            {"first announcement after a departure without a start",
                {{Kind::Departure, "u", 0, 15, false, false},
                    {Kind::Ready, "u", 10, 1, true, true},
                    {Kind::Ready, "u", 10, 2, true, true}}},
            {"new start after a departure without a start",
                {{Kind::Departure, "u", 0, 15, false, false}, {Kind::Ready, "u", 20, 40, true, false}}},
            {"replacement after a departure without a start",
                {{Kind::Departure, "u", 0, 15, false, false}, {Kind::Ready, "v", 10, 9, true, false}}},
            {"departure without a start of an upstream that is not heard yet",
                {{Kind::Ready, "u", 10, 7, true, false},
                    {Kind::Departure, "v", 0, 25, false, false},
                    {Kind::Ready, "u", 10, 8, true, false},
                    {Kind::Ready, "v", 20, 1, true, true}}},
            {"departure of a start that is not heard yet",
                {{Kind::Ready, "u", 10, 7, true, false},
                    {Kind::Departure, "v", 20, 0, false, false},
                    {Kind::Ready, "v", 20, 1, true, true},
                    {Kind::Ready, "v", 30, 1, true, false}}},
            {"departure without a start while the clock of the proxy is behind",
                {{Kind::Ready, "u", 10, 7, true, false}, {Kind::Departure, "u", 0, 5, true, true}, {Kind::Ready, "u", 10, 8, true, true}}},
            {"restored departure without a start",
                {{Kind::Restored, "u", 0, 15, false, false},
                    {Kind::Ready, "u", 10, 2, true, true},
                    {Kind::Ready, "u", 20, 1, true, false}}},
            {"restored departure without a start of the current upstream",
                {{Kind::Ready, "u", 10, 2, true, false}, {Kind::Restored, "u", 0, 15, true, true}, {Kind::Ready, "u", 10, 3, true, true}}},
            {"departure of another upstream after one of the current",
                {{Kind::Ready, "u", 10, 7, true, false},
                    {Kind::Departure, "u", 10, 0, true, true},
                    {Kind::Departure, "w", 0, 15, true, true},
                    {Kind::Ready, "u", 10, 8, true, true}}},
            {"departure without a start of the current upstream",
                {{Kind::Ready, "u", 10, 7, true, false}, {Kind::Departure, "u", 0, 15, true, true}, {Kind::Ready, "u", 10, 8, true, true}}},
        };
        for (const auto &[name, steps] : histories) {
            AnnouncementOrder order(Interval);
            for (std::size_t i = 0; i < steps.size(); ++i) {
                const Step &step = steps[i];
                const std::string message = name + ", step " + std::to_string(i);
                const std::optional<UpstreamLifetime> lifetime =
                    step.started == 0 ? std::nullopt : std::optional(UpstreamLifetime {step.started, step.sequence});
                const auto acknowledgedAt = static_cast<std::int64_t>(step.sequence);
                if (step.kind == Kind::Departure) {
                    (void)order.acceptDeparture(step.upstream, lifetime, acknowledgedAt);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.isAccepted, order.isCurrentLeaving());
                    continue;
                }
                if (step.kind == Kind::Restored) {
                    order.restoreDeparture({step.upstream, lifetime ? std::optional(step.started) : std::nullopt, acknowledgedAt});
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.isAccepted, order.isCurrentLeaving());
                    continue;
                }
                UpstreamAnnouncement announcement;
                announcement.upstreamId = step.upstream;
                announcement.lifetime = lifetime;
                announcement.isDraining = step.kind == Kind::Draining;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.isAccepted, order.accept(announcement, TimePoint()));
                if (step.isAccepted) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.isDraining, announcement.isDraining);
                }
            }
        }
    }

    // Guards against a departure that other members are told without the start that it binds, so that a late announcement of
    // that start is taken for news after a restart; and against a second departure that is told for the same start.
    void testDeparturesToldToMembers()
    {
        AnnouncementOrder order(Interval);
        const auto hear = [&](std::int64_t started, std::uint64_t sequence, bool isDraining) {
            UpstreamAnnouncement announcement;
            announcement.upstreamId = "u";
            announcement.lifetime = UpstreamLifetime {started, sequence};
            announcement.isDraining = isDraining;
            CPPUNIT_ASSERT(order.accept(announcement, TimePoint()));
        };
        const auto told = [&](std::optional<UpstreamLifetime> lifetime, std::int64_t unixMs) {
            return order.acceptDeparture("u", lifetime, unixMs);
        };
        CPPUNIT_ASSERT((told(std::nullopt, 5) == UpstreamDeparted {"u", std::nullopt, 5}));
        hear(10, 1, false);
        CPPUNIT_ASSERT((told(std::nullopt, 15) == UpstreamDeparted {"u", std::nullopt, 15}));
        CPPUNIT_ASSERT((told(std::nullopt, 16) == UpstreamDeparted {"u", 10, 0}));
        hear(20, 1, true);
        CPPUNIT_ASSERT((told(std::nullopt, 25) == UpstreamDeparted {"u", 20, 0}));
        CPPUNIT_ASSERT((told(UpstreamLifetime {30, 0}, 35) == UpstreamDeparted {"u", 30, 0}));
    }

    struct TimedStep
    {
        int atMs;
        std::string upstream;
        std::int64_t started;
        std::uint64_t sequence;
        bool isAccepted;
        bool isDraining = false;
    };

    // Guards against one announcement with a later start that keeps the upstream at the address out for good, and against late
    // announcements of an earlier start that end the one that took its place.
    void testStartsThatGoOn()
    {
        const std::vector<std::pair<std::string, std::vector<TimedStep>>> histories {
            {"another writer, once",
                {{0, "u", 10, 7, true},
                    {100, "w", 90, 1, true},
                    {1000, "u", 10, 8, false},
                    {2000, "u", 10, 9, true},
                    {2100, "w", 90, 1, false},
                    {2200, "w", 90, 2, false},
                    {3000, "u", 10, 10, true}}},
            {"another writer says that it leaves",
                {{0, "u", 10, 7, true}, {100, "w", 90, 1, true, true}, {1000, "u", 10, 8, false}, {2000, "u", 10, 9, true}}},
            {"successor with a clock that went back",
                {{0, "u", 90, 7, true}, {5000, "v", 10, 1, false}, {6000, "v", 10, 2, true}, {6100, "u", 90, 8, false}}},
            {"earlier start beside its successor",
                {{0, "u", 10, 7, true},
                    {100, "v", 20, 1, true},
                    {1000, "u", 10, 8, false},
                    {1100, "v", 20, 2, true},
                    {2000, "u", 10, 9, false},
                    {2100, "v", 20, 3, true},
                    {3000, "u", 10, 10, false}}},
            {"announcements that were delayed together",
                {{0, "u", 10, 7, true}, {100, "v", 20, 1, true}, {5000, "u", 10, 8, false}, {5001, "u", 10, 9, false}}},
            {"earlier start that has said that it leaves",
                {{0, "u", 10, 7, true, true}, {100, "v", 20, 1, true}, {2000, "u", 10, 8, false}, {4000, "u", 10, 9, false}}},
        };
        for (const auto &[name, steps] : histories) {
            AnnouncementOrder order(Interval);
            for (std::size_t i = 0; i < steps.size(); ++i) {
                const TimedStep &step = steps[i];
                UpstreamAnnouncement announcement;
                announcement.upstreamId = step.upstream;
                announcement.lifetime = UpstreamLifetime {step.started, step.sequence};
                announcement.isDraining = step.isDraining;
                const TimePoint now {std::chrono::milliseconds(step.atMs)};
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name + ", step " + std::to_string(i), step.isAccepted, order.accept(announcement, now));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAnnouncementOrder);

} // namespace Fuchsiastep

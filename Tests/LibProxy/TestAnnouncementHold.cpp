#include <LibProxy/AnnouncementHold.h>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace Fuchsiastep {

class TestAnnouncementHold : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAnnouncementHold);
    CPPUNIT_TEST(testStartOfTheProxy);
    CPPUNIT_TEST(testServices);
    CPPUNIT_TEST(testHeldAnnouncements);
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
            AnnouncementHold hold({}, Interval);
            for (std::size_t i = 0; i < steps.size(); ++i) {
                const Step &step = steps[i];
                const std::string message = name + ", step " + std::to_string(i);
                if (step.kind == Kind::Known) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.passes, !hold.releaseDepartures().empty());
                    continue;
                }
                UpstreamAnnouncement announcement;
                announcement.upstreamId = "u";
                announcement.isDraining = step.kind == Kind::Draining;
                if (step.kind != Kind::WithoutLifetime) {
                    announcement.lifetime = UpstreamLifetime {step.started, step.sequence};
                }
                const TimePoint now {std::chrono::milliseconds(step.atMs)};
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, step.passes, hold.admit(announcement, now) == HoldReason::None);
            }
        }
    }

    struct ServiceStep
    {
        /// The configuration in force from this step on.
        std::optional<std::string> configured;
        std::string service;
        std::uint64_t sequence;
        HoldReason reason;
        /// What the configuration releases.
        std::size_t released = 0;
        bool isDraining = false;
        std::string upstream = "u";
    };

    static Configuration::Pointer configurationOf(ConfigurationVersion version, const std::string &service)
    {
        const std::vector<DeclaredObject> objects {ServiceDeclaration {service, {}}};
        return valueOf(Configuration::empty()->tryApply(ConfigurationDelta::between(*Configuration::empty(), objects, version)));
    }

    // Guards against an announcement of another writer, with a service that no configuration names, that has an effect; and
    // against an upstream that stays unused once a version names its service, or ends when a version drops it.
    void testServices()
    {
        constexpr Duration Interval = std::chrono::seconds(1);
        const HoldReason none = HoldReason::None;
        const HoldReason unknown = HoldReason::ServiceUnknown;
        const std::vector<std::pair<std::string, std::vector<ServiceStep>>> histories {
            {"own service before a configuration", {{{}, "desk", 1, none}, {{}, "other", 1, unknown, 0, false, "v"}}},
            {"unknown service", {{"desk", "desk", 1, none}, {{}, "other", 9, unknown}, {{}, "desk", 2, none}}},
            {"unknown service that leaves", {{"desk", "other", 9, unknown, 0, true}}},
            {"service that is configured later", {{"desk", "other", 1, unknown}, {"other", "other", 2, none, 1}}},
            {"service of another instance before a configuration", {{{}, "other", 1, unknown}, {"other", "other", 2, none, 1}}},
            {"service that is dropped", {{"desk", "desk", 1, none}, {"other", "desk", 2, none}, {{}, "desk", 1, unknown, 0, false, "v"}}},
        };
        for (const auto &[name, steps] : histories) {
            AnnouncementHold hold("desk", Interval);
            (void)hold.releaseDepartures();
            for (std::size_t i = 0; i < steps.size(); ++i) {
                const ServiceStep &step = steps[i];
                const std::string message = name + ", step " + std::to_string(i);
                if (step.configured) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(
                        message, step.released, hold.setConfiguration(configurationOf(i + 1, *step.configured)).size());
                }
                UpstreamAnnouncement announcement;
                announcement.upstreamId = step.upstream;
                announcement.service = step.service;
                announcement.isDraining = step.isDraining;
                announcement.lifetime = UpstreamLifetime {10, step.sequence};
                CPPUNIT_ASSERT_MESSAGE(message, hold.admit(announcement, TimePoint()) == step.reason);
            }
        }
    }

    // Guards against other writers that fill the memory of the proxy with announcements, and against a held announcement
    // that passes as ready although another of its start, sent before or after it, says that the upstream leaves.
    void testHeldAnnouncements()
    {
        AnnouncementHold hold("desk", std::chrono::seconds(1));
        (void)hold.releaseDepartures();
        UpstreamAnnouncement announcement;
        announcement.service = "other";
        for (std::size_t i = 0; i < 1000; ++i) {
            announcement.upstreamId = "w" + std::to_string(i);
            for (const std::uint64_t sequence : {6, 5, 7}) {
                announcement.lifetime = UpstreamLifetime {10, sequence};
                announcement.isDraining = sequence == 5;
                (void)hold.admit(announcement, TimePoint());
            }
        }
        const std::vector<UpstreamAnnouncement> released = hold.setConfiguration(configurationOf(1, "other"));
        CPPUNIT_ASSERT(released.size() < 20);
        for (const UpstreamAnnouncement &held : released) {
            CPPUNIT_ASSERT(held.isDraining);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAnnouncementHold);

} // namespace Fuchsiastep

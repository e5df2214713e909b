#include <upstream-stand-in/UpstreamEmulator.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep {

class TestUpstreamEmulator : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestUpstreamEmulator);
    CPPUNIT_TEST(testAdmission);
    CPPUNIT_TEST(testRunCounts);
    CPPUNIT_TEST(testColdStart);
    CPPUNIT_TEST(testMisleadingReports);
    CPPUNIT_TEST_SUITE_END();

    static std::int64_t runCount(const UpstreamEmulator &emulator, const std::string &name)
    {
        const JsonValue value = valueOf(JsonValue::tryParse(emulator.runs().body));
        return std::get<std::int64_t>(std::get<JsonValue::Object>(value.content).at(name).content);
    }

    // Guards against a refusal that counts as a run, and against an upstream that runs what it refused.
    void testAdmission()
    {
        struct Case
        {
            std::string name;
            std::uint32_t shedAt;
            std::uint32_t connections;
            int running;
            bool isDraining;
            std::optional<Duration> timeLeft;
            bool isRun;
        };
        const std::vector<Case> cases {
            {"idle", 1000, 9, 0, false, {}, true},
            {"last slot", 1000, 9, 5, false, {}, true},
            {"beyond the slots", 1000, 9, 6, false, {}, false},
            {"half load", 500, 9, 3, false, {}, false},
            {"sheds nothing", 0, 9, 8, false, {}, true},
            {"connections", 0, 9, 9, false, {}, false},
            {"draining", 0, 9, 0, true, {}, false},
            {"past the deadline", 0, 9, 0, false, Duration(0), false},
            {"before the deadline", 0, 9, 0, false, Duration(1), true},
        };
        for (const Case &item : cases) {
            const Clock clock = Clock::manual();
            EmulatorSettings settings;
            settings.shedAtPermille = item.shedAt;
            settings.connections = item.connections;
            UpstreamEmulator emulator(settings, clock, 1);
            for (int i = 0; i < item.running; ++i) {
                CPPUNIT_ASSERT_MESSAGE(item.name, std::holds_alternative<EmulatedRun>(emulator.begin({})));
            }
            const std::int64_t before = runCount(emulator, "total");
            if (item.isDraining) {
                emulator.startDraining();
            }
            EmulatedRequest request;
            request.timeLeft = item.timeLeft;
            const auto decision = emulator.begin(request);
            const auto *refusal = std::get_if<EmulatedAnswer>(&decision);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.isRun, refusal == nullptr);
            CPPUNIT_ASSERT_MESSAGE(item.name, refusal == nullptr || (refusal->isRefused && refusal->status == 503));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, before + (item.isRun ? 1 : 0), runCount(emulator, "total"));
        }
    }

    void testRunCounts()
    {
        const Clock clock = Clock::manual();
        EmulatorSettings settings;
        settings.slots = 1;
        UpstreamEmulator emulator(settings, clock, 1);
        EmulatedRequest request;
        request.key = "k";
        request.path = "/size/7/ab";
        const auto first = std::get<EmulatedRun>(emulator.begin(request));
        const auto second = std::get<EmulatedRun>(emulator.begin(request));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), second.number);
        CPPUNIT_ASSERT_EQUAL(std::string("/size/7"), emulator.finish(request, first).body);
        emulator.abandon();
        request.path = "/slow/500";
        request.timeLeft = std::chrono::milliseconds(20);
        const auto third = std::get<EmulatedRun>(emulator.begin(request));
        CPPUNIT_ASSERT(third.endsAtDeadline && third.duration == *request.timeLeft);
        CPPUNIT_ASSERT_EQUAL(504U, emulator.finish(request, third).status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), runCount(emulator, "concurrency_violations"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), runCount(emulator, "highest_concurrency"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), runCount(emulator, "repeated_keys"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), runCount(emulator, "cancelled_by_client"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), runCount(emulator, "cancelled_by_deadline"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), runCount(emulator, "running"));
    }

    void testColdStart()
    {
        Clock clock = Clock::manual();
        EmulatorSettings settings;
        settings.coldStart = std::chrono::seconds(1);
        UpstreamEmulator emulator(settings, clock, 1);
        const auto cold = std::get<EmulatedRun>(emulator.begin({})).duration;
        emulator.abandon();
        clock.advance(std::chrono::seconds(1));
        const auto warm = std::get<EmulatedRun>(emulator.begin({})).duration;
        // The jitter spans a factor of 5/3, the cold start one of 5.
        CPPUNIT_ASSERT(cold >= settings.serviceTime * 3 && warm <= settings.serviceTime * 5 / 4);
    }

    void testMisleadingReports()
    {
        for (const bool isLying : {false, true}) {
            const Clock clock = Clock::manual();
            EmulatorSettings settings;
            settings.healthLies = isLying;
            settings.loadLies = isLying;
            UpstreamEmulator emulator(settings, clock, 1);
            CPPUNIT_ASSERT_EQUAL(isLying ? 503U : 200U, emulator.health().status);
            const auto idle = std::get<JsonValue::Object>(emulator.announcement({"127.0.0.1", 1}).content);
            CPPUNIT_ASSERT(idle.at("load_permille") == JsonValue(isLying ? 1000 : 0));
            emulator.startDraining();
            CPPUNIT_ASSERT_EQUAL(isLying ? 200U : 503U, emulator.health().status);
            const auto draining = std::get<JsonValue::Object>(emulator.announcement({"127.0.0.1", 1}).content);
            CPPUNIT_ASSERT(draining.at("draining") == JsonValue(true));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUpstreamEmulator);

} // namespace Fuchsiastep

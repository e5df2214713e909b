#include <LibProxy/LibProxy.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace Fuchsiastep {

class TestProxySettings : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestProxySettings);
    CPPUNIT_TEST(testCompleteSettings);
    CPPUNIT_TEST(testDrainEndsWithinTheGrace);
    CPPUNIT_TEST(testBuffersFitIntoTheMemory);
    CPPUNIT_TEST(testEveryWrongFieldIsNamed);
    CPPUNIT_TEST(testAllErrorsAreReportedTogether);
    CPPUNIT_TEST(testUnreadableFile);
    CPPUNIT_TEST(testExampleSettingsAreValid);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char *Listen = R"("listen":{"callers":"127.0.0.1:0","control":"127.0.0.1:0","peers":"127.0.0.1:0"})";
    static constexpr const char *Platform = R"("platform":{"url":"http://127.0.0.1:1"})";

    static std::string withNames(const std::string &members)
    {
        return R"({"proxy_id":"p-1","data_centre":"gatton","region":"qld-south",)" + members + '}';
    }

    static std::string complete(const std::string &more)
    {
        return withNames(std::string(Listen) + ',' + Platform + (more.empty() ? "" : ',' + more));
    }

    // Guards against units and defaults that differ from docs/interfaces.md.
    void testCompleteSettings()
    {
        std::vector<Error> errors;
        const Result<ProxySettings> parsed = ProxySettings::tryParse(
            complete(R"("seeds":["127.0.0.1:7","[::1]:8"],"distribution":{"batch_ms":20},"log_level":"warning")"), errors);
        CPPUNIT_ASSERT_MESSAGE(errors.empty() ? "" : errors.front().detail, !isError(parsed));
        const ProxySettings &settings = valueOf(parsed);
        CPPUNIT_ASSERT_EQUAL(std::string("gatton"), settings.dataCentre);
        CPPUNIT_ASSERT(settings.distribution.batchWindow == std::chrono::milliseconds(20));
        CPPUNIT_ASSERT(settings.membership.probeInterval == std::chrono::seconds(1));
        CPPUNIT_ASSERT(settings.limits.drainTime == std::chrono::seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1'048'576}, settings.limits.requestBodyBytes);
        CPPUNIT_ASSERT(settings.seeds.at(1) == (SocketAddress {"::1", 8}));
        CPPUNIT_ASSERT(settings.logLevel == LogLevel::Warning);
    }

    // Guards against a drain that is still under way when the platform kills the process, and against one that ends long
    // before: both cut requests that had time left.
    void testDrainEndsWithinTheGrace()
    {
        struct Case
        {
            std::string limits;
            int drainMs;
        };
        const std::vector<Case> cases {
            {R"("limits":{"grace_s":6,"drain_ms":1000})", 5300},
            {R"("limits":{"grace_s":10})", 9300},
            {R"("limits":{"grace_s":1.5})", 1250},
            {R"("limits":{"grace_s":0,"drain_ms":1000})", 1000},
            {R"("limits":{})", 30'000},
        };
        for (const Case &item : cases) {
            std::vector<Error> errors;
            const Result<ProxySettings> parsed = ProxySettings::tryParse(complete(item.limits), errors);
            CPPUNIT_ASSERT_MESSAGE(item.limits, !isError(parsed));
            CPPUNIT_ASSERT_MESSAGE(item.limits, valueOf(parsed).limits.drainTime == std::chrono::milliseconds(item.drainMs));
        }
    }

    // Guards against buffers that are sized without regard to the memory that the process may use.
    void testBuffersFitIntoTheMemory()
    {
        struct Case
        {
            std::string limits;
            std::uint64_t bufferBytes;
            std::uint64_t answerBytes;
        };
        constexpr std::uint64_t Mebibyte = 1024 * 1024;
        const std::vector<Case> cases {
            {R"("limits":{})", 64 * Mebibyte, 16 * Mebibyte},
            {R"("limits":{"memory_mb":0})", 64 * Mebibyte, 16 * Mebibyte},
            {R"("limits":{"memory_mb":96})", 8'000'000, 8'000'000},
            {R"("limits":{"memory_mb":96,"answer_body_bytes":2000000})", 8'000'000, 2'000'000},
            {R"("limits":{"memory_mb":480})", 40'000'000, 16 * Mebibyte},
        };
        for (const Case &item : cases) {
            std::vector<Error> errors;
            const Result<ProxySettings> parsed = ProxySettings::tryParse(complete(item.limits), errors);
            CPPUNIT_ASSERT_MESSAGE(item.limits, !isError(parsed));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.limits, item.bufferBytes, valueOf(parsed).limits.bufferBytes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.limits, item.answerBytes, valueOf(parsed).limits.answerBodyBytes);
        }
    }

    // Guards against wrong settings that a proxy starts with, and against errors that do not say where they are.
    void testEveryWrongFieldIsNamed()
    {
        struct Case
        {
            std::string text;
            ErrorCode code;
            std::string path;
        };
        const std::string longName(64, 'a');
        const std::vector<Case> cases {
            {"{", ErrorCode::SettingsMalformed, ""},
            {"/*\"*/" + std::string(200'000, '['), ErrorCode::SettingsMalformed, ""},
            {"[]", ErrorCode::SettingsWrongType, "$"},
            {withNames(Platform), ErrorCode::SettingsMissingKey, "$.listen"},
            {withNames(Listen), ErrorCode::SettingsMissingKey, "$.platform"},
            {withNames(std::string(Platform) + R"(,"listen":{"callers":"127.0.0.1:0","control":"127.0.0.1:0"})"),
                ErrorCode::SettingsMissingKey,
                "$.listen.peers"},
            {withNames(std::string(Platform) + R"(,"listen":{"callers":"localhost:80","control":"127.0.0.1:0","peers":"127.0.0.1:0"})"),
                ErrorCode::SettingsOutOfRange,
                "$.listen.callers"},
            {withNames(std::string(Platform) + R"(,"listen":{"callers":"127.0.0.1:65536","control":"127.0.0.1:0","peers":"127.0.0.1:0"})"),
                ErrorCode::SettingsOutOfRange,
                "$.listen.callers"},
            {withNames(std::string(Platform)
                 + R"(,"listen":{"callers":"127.0.0.1:1","control":"127.0.0.1:2","peers":"127.0.0.1:3","metrics":"9464"})"),
                ErrorCode::SettingsOutOfRange,
                "$.listen.metrics"},
            {withNames(std::string(Listen) + R"(,"platform":{"url":"ftp://x"})"), ErrorCode::SettingsOutOfRange, "$.platform.url"},
            {withNames(std::string(Listen) + R"(,"platform":{})"), ErrorCode::SettingsMissingKey, "$.platform.url"},
            {R"({"data_centre":"d","region":"r",)" + std::string(Listen) + ',' + Platform + '}',
                ErrorCode::SettingsMissingKey,
                "$.proxy_id"},
            {R"({"proxy_id":"","data_centre":"d","region":"r",)" + std::string(Listen) + ',' + Platform + '}',
                ErrorCode::SettingsOutOfRange,
                "$.proxy_id"},
            {R"({"proxy_id":"P_1","data_centre":"d","region":"r",)" + std::string(Listen) + ',' + Platform + '}',
                ErrorCode::SettingsOutOfRange,
                "$.proxy_id"},
            {R"({"proxy_id":"p","data_centre":")" + longName + R"(","region":"r",)" + Listen + ',' + Platform + '}',
                ErrorCode::SettingsOutOfRange,
                "$.data_centre"},
            {complete(R"("colour":1)"), ErrorCode::SettingsUnknownKey, "$.colour"},
            {complete(R"("distribution":{"batch":1})"), ErrorCode::SettingsUnknownKey, "$.distribution.batch"},
            {complete(R"("distribution":[])"), ErrorCode::SettingsWrongType, "$.distribution"},
            {complete(R"("distribution":{"batch_ms":"20"})"), ErrorCode::SettingsWrongType, "$.distribution.batch_ms"},
            {complete(R"("distribution":{"batch_ms":1.5})"), ErrorCode::SettingsWrongType, "$.distribution.batch_ms"},
            {complete(R"("distribution":{"batch_ms":-1})"), ErrorCode::SettingsOutOfRange, "$.distribution.batch_ms"},
            {complete(R"("distribution":{"batch_ms":600001})"), ErrorCode::SettingsOutOfRange, "$.distribution.batch_ms"},
            {complete(R"("distribution":{"reader_poll_ms":9})"), ErrorCode::SettingsOutOfRange, "$.distribution.reader_poll_ms"},
            {complete(R"("distribution":{"readers":0})"), ErrorCode::SettingsOutOfRange, "$.distribution.readers"},
            {complete(R"("distribution":{"fan_out":65})"), ErrorCode::SettingsOutOfRange, "$.distribution.fan_out"},
            {complete(R"("membership":{"probe_ms":49})"), ErrorCode::SettingsOutOfRange, "$.membership.probe_ms"},
            {complete(R"("membership":{"probe_ms":300})"), ErrorCode::SettingsOutOfRange, "$.membership.probe_timeout_ms"},
            {complete(R"("limits":{"request_body_bytes":1572865})"), ErrorCode::SettingsOutOfRange, "$.limits.request_body_bytes"},
            {complete(R"("limits":{"answer_body_bytes":1023})"), ErrorCode::SettingsOutOfRange, "$.limits.answer_body_bytes"},
            {complete(R"("limits":{"requests_in_flight":0})"), ErrorCode::SettingsOutOfRange, "$.limits.requests_in_flight"},
            {complete(R"("limits":{"queue_per_slot":1001})"), ErrorCode::SettingsOutOfRange, "$.limits.queue_per_slot"},
            {complete(R"("limits":{"drain_ms":true})"), ErrorCode::SettingsWrongType, "$.limits.drain_ms"},
            {complete(R"("limits":{"grace_s":"6"})"), ErrorCode::SettingsWrongType, "$.limits.grace_s"},
            {complete(R"("limits":{"grace_s":-1})"), ErrorCode::SettingsOutOfRange, "$.limits.grace_s"},
            {complete(R"("limits":{"memory_mb":-1})"), ErrorCode::SettingsOutOfRange, "$.limits.memory_mb"},
            {complete(R"("limits":{"memory_mb":"96"})"), ErrorCode::SettingsWrongType, "$.limits.memory_mb"},
            {complete(R"("limits":{"grace_s":601})"), ErrorCode::SettingsOutOfRange, "$.limits.grace_s"},
            {complete(R"("seeds":["127.0.0.1:1","x"])"), ErrorCode::SettingsOutOfRange, "$.seeds[1]"},
            {complete(R"("seeds":"127.0.0.1:1")"), ErrorCode::SettingsWrongType, "$.seeds"},
            {complete(R"("log_level":"loud")"), ErrorCode::SettingsOutOfRange, "$.log_level"},
        };
        for (const Case &item : cases) {
            std::vector<Error> errors;
            const Result<ProxySettings> parsed = ProxySettings::tryParse(item.text, errors);
            CPPUNIT_ASSERT_MESSAGE(item.text, isError(parsed));
            const bool isNamed = std::any_of(errors.begin(), errors.end(), [&item](const Error &error) {
                return error.code == item.code && (item.path.empty() || error.detail.starts_with(item.path + ": "));
            });
            CPPUNIT_ASSERT_MESSAGE(item.text + " gives " + describe(errors.front()), isNamed);
        }
    }

    // Guards against a check that stops at the first error, which costs operators one start for each.
    void testAllErrorsAreReportedTogether()
    {
        std::vector<Error> errors;
        ProxySettings::tryParse(complete(R"("colour":1,"limits":{"queue_ms":-1},"log_level":"loud")"), errors);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, errors.size());
    }

    // Guards against templates that no proxy starts with.
    void testExampleSettingsAreValid()
    {
        for (const std::string deployment : {"whitcombe", "cork"}) {
            std::vector<Error> errors;
            const Result<ProxySettings> loaded =
                ProxySettings::tryLoad(FUCHSIASTEP_SOURCE_DIR "/Base/" + deployment + "/settings/proxy.json", errors);
            CPPUNIT_ASSERT_MESSAGE(errors.empty() ? "" : errors.front().detail, !isError(loaded));
            CPPUNIT_ASSERT_EQUAL(std::uint16_t {0}, valueOf(loaded).listen.peers.port);
        }
    }

    // Guards against a proxy that starts with defaults where its file is missing or empty.
    void testUnreadableFile()
    {
        std::vector<Error> errors;
        const Result<ProxySettings> missing = ProxySettings::tryLoad("/nonexistent/proxy.json", errors);
        CPPUNIT_ASSERT(isError(missing) && errorOf(missing).code == ErrorCode::SettingsUnreadable);
        errors.clear();
        CPPUNIT_ASSERT(isError(ProxySettings::tryLoad("/dev/null", errors)));
        errors.clear();
        CPPUNIT_ASSERT(isError(ProxySettings::tryLoad(FUCHSIASTEP_SOURCE_DIR, errors)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestProxySettings);

} // namespace Fuchsiastep

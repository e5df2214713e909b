#include <LibCore/Compression.h>
#include <LibProxy/ConfigurationTask.h>
#include <Support/MainLoop.h>
#include <platform/DocumentCodec.h>
#include <platform/PlatformAdapter.h>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

namespace Fuchsiastep {

/// ConfigurationTask with the platform's store and a peer.
class TestConfigurationTask : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestConfigurationTask);
    CPPUNIT_TEST(testLimitsOfAVersionThatAPeerHad);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char *Document =
        R"({"version":"r7","services":[{"name":"desk"}],"routes":[{"name":"a","host":"h","prefix":"/a/","routeType":"idempotent",)"
        R"("timeoutMs":1000,"service":"desk","attempts":2}],"limits":{"maxHeaderBytes":32768}})";

    /// A store with the document, which may be turned off.
    struct Store
    {
        Store() : server(1024 * 1024, [this](const HttpServerEvent &event) { handle(event); })
        {
            CPPUNIT_ASSERT(!isError(server.tryListen({"127.0.0.1", 0})));
        }

        void handle(const HttpServerEvent &event)
        {
            const auto *request = std::get_if<HttpRequest>(&event);
            if (request == nullptr) {
                return;
            }
            if (!isServing) {
                ++refused;
                server.answer({request->token, 503, {}, {}});
                return;
            }
            const std::string_view document = Document;
            char *value = g_base64_encode(reinterpret_cast<const guchar *>(document.data()), document.size());
            const bool isRead = request->path == "/-/rows-get" && request->query.find("key") == std::string::npos
                && request->query.find("table=op") != std::string::npos;
            const std::string row = R"({"table":"op","part":"","key":"config","rowVersion":5,"value":")" + std::string(value) + "\"}";
            g_free(value);
            server.answer({request->token, 200, {}, "{\"rows\":[" + (isRead ? row : std::string()) + "],\"rowVersion\":5}"});
        }

        bool isServing = false;
        std::size_t refused = 0;
        HttpServer server;
    };

    static MemberRecord self()
    {
        MemberRecord record;
        record.proxyId = "p-1";
        record.dataCentre = "gatton";
        record.region = "qld-south";
        record.incarnation = 1;
        record.sequence = 1;
        return record;
    }

    static ProxySettings settings()
    {
        ProxySettings settings;
        settings.proxyId = "p-1";
        settings.dataCentre = "gatton";
        settings.region = "qld-south";
        return settings;
    }

    // Guards against 431 for requests that the configuration allows: a proxy that the store turns away takes the version from
    // a peer, and then finds nothing new in the store's document, which alone has the limits of callers.
    void testLimitsOfAVersionThatAPeerHad()
    {
        Store store;
        Clock clock = Clock::system();
        Random random(1);
        MetricsRegistry metrics;
        const ProxySettings proxy = settings();
        const EdgeProtocol protocol = platformProtocol(proxy);
        const MembershipTable table(self(), clock);
        PlatformClientSettings client;
        client.baseUrl = "http://" + store.server.address().toString();
        client.protocol = protocol.platform;
        auto platform = std::make_unique<PlatformClient>(client);
        PeerLinks links({HelloFrame::CurrentProtocol, "p-1", 1, "gatton"}, 1024 * 1024, clock, metrics, [](const PeerLinksEvent &) {});
        std::optional<ConfigurationVersion> held;
        std::vector<HttpServerLimits> limits;
        ConfigurationTask task(proxy, protocol, table, clock, random, metrics, links, *platform, [&](const ConfigurationTaskEvent &event) {
            if (const auto *version = std::get_if<VersionHeld>(&event)) {
                held = version->held.version;
            } else if (const auto *changed = std::get_if<CallerLimitsChanged>(&event)) {
                limits.push_back(changed->limits);
            }
        });
        task.start();
        CPPUNIT_ASSERT(runUntil([&] { return store.refused > 0; }));

        const Result<ConfigurationDocument> document = PlatformAdapter::tryReadDocument(Document);
        const ConfigurationDelta delta = ConfigurationDelta::between(*Configuration::empty(), valueOf(document).objects, 7);
        ConfigurationPushFrame push;
        push.baseVersion = delta.baseVersion;
        push.targetVersion = delta.targetVersion;
        push.baseDigest = delta.baseDigest;
        push.targetDigest = delta.targetDigest;
        push.delta = compress(delta.encode());
        task.post(PeerFrame {"p-2", push});
        CPPUNIT_ASSERT(runUntil([&] { return held.has_value(); }));
        CPPUNIT_ASSERT(held == ConfigurationVersion(7) && limits.empty());

        store.isServing = true;
        CPPUNIT_ASSERT(runUntil([&] { return !limits.empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(32768), limits.front().sizes.headBytes);
        platform.reset();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConfigurationTask);

} // namespace Fuchsiastep

#include "ProcessTest.h"

using namespace Fuchsiastep;

namespace {

constexpr Duration Limit = std::chrono::seconds(30);

HttpCall post(const SocketAddress &address, const std::string &path, std::string body)
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + address.toString() + path;
    call.body = std::move(body);
    return call;
}

} // namespace

class TestMalformedInput : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestMalformedInput);
    CPPUNIT_TEST(proxySurvivesMalformedBodies);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a proxy that crashes, or stops following changes, because of one malformed body: nested very deeply, or
    /// with a number or a port out of range.
    void proxySurvivesMalformedBodies()
    {
        constexpr std::size_t Proxies = 3;
        LabSession lab(testPlan(2), testOptions(Proxies));
        requireDone(lab.tryOpen());
        const std::string deep(200'000, '[');
        const std::vector<std::string> bodies {
            deep,
            "/*\"*/" + deep,
            "{\"upstream\":\"odd\",\"service\":\"order-desk\",\"address\":\"127.0.0.1:9\",\"labels\":" + deep,
            R"({"upstream":"odd","service":"order-desk","address":"127.0.0.1:73616"})",
            R"({"upstream":"odd","service":"order-desk","address":"127.0.0.1:0"})",
            R"({"upstream":"odd","service":"order-desk","address":"127.0.0.1:9","slots":1e400})",
            R"({"upstream":"odd","service":"order-desk","address":"127.0.0.1:9","slots":18446744073709551617})",
        };
        for (const std::string &body : bodies) {
            for (const char *path : {"/v1/upstream/announce", "/v1/operator/changes"}) {
                const HttpReply reply = lab.client.http().fetch(post(lab.fleet.at(Proxies - 1).control, path, body));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed(path + (' ' + body.substr(0, 100))), 400U, reply.status);
            }
        }
        CPPUNIT_ASSERT_EQUAL(Proxies, lab.fleet.running().size());
        const Result<AcceptedChange> change = lab.client.trySubmitLabel(0, "order-desk", "after");
        CPPUNIT_ASSERT(!isError(change));
        CPPUNIT_ASSERT_MESSAGE(
            withSeed("a proxy does not follow"), lab.client.waitUntilHeld(lab.fleet.all(), valueOf(change).version, Limit));
        for (const auto &[index, status] : lab.client.statuses(lab.fleet.all())) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed("upstreams known"), std::uint64_t(2), status ? status->endpoints : 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMalformedInput);

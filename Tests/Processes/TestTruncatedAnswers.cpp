#include "ProcessTest.h"

#include <Support/ScriptedUpstream.h>

using namespace Fuchsiastep;

namespace {

constexpr std::size_t BesideUpstream = 0;
constexpr std::size_t CallerSide = 1;

} // namespace

/// An upstream that ends its connection early, behind the proxies of two instances.
class TestTruncatedAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTruncatedAnswers);
    CPPUNIT_TEST(callersNeverGetAPartAsAWhole);
    CPPUNIT_TEST_SUITE_END();

    static void announce(LabSession &lab, const SocketAddress &upstream)
    {
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + lab.fleet.at(BesideUpstream).control.toString() + "/v1/upstream/announce";
        call.body =
            JsonValue(JsonValue::Object {{"upstream", "scripted"}, {"service", "order-desk"}, {"address", upstream.toString()}}).toText();
        const unsigned status = lab.client.http().fetch(std::move(call)).status;
        CPPUNIT_ASSERT_MESSAGE(withSeed("announcement: " + std::to_string(status)), status >= 200 && status < 300);
    }

    /// Guards against a 200 with an empty or short body where the upstream stopped inside the head of its answer, or inside a
    /// large body that travels in parts.
    void callersNeverGetAPartAsAWhole()
    {
        const std::string large(100'000, 'x');
        const std::string counted = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(large.size()) + "\r\n\r\n";
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string chunks = "c350\r\n" + large.substr(0, large.size() / 2) + "\r\n";
        struct Case
        {
            std::string bytes;
            bool isWhole;
        };
        std::vector<Case> cases {
            {counted + large, true},
            {counted + large.substr(0, large.size() / 2), false},
            {chunked + chunks + chunks + "0\r\n\r\n", true},
            {chunked + chunks, false},
            {chunked + chunks + "0\r\n", false},
            {"HTTP/1.1 100 Continue\r\n\r\n", false},
        };
        for (std::size_t bytes = 0; bytes < counted.size(); ++bytes) {
            cases.push_back({counted.substr(0, bytes), false});
        }
        for (std::size_t bytes = 0; bytes < chunked.size(); ++bytes) {
            cases.push_back({chunked.substr(0, bytes), false});
        }

        std::string reply;
        ScriptedUpstream upstream([&reply](std::size_t, std::size_t) { return ScriptedUpstream::Reply {reply, {}, true}; });
        LabSession lab(testPlan(0), testOptions(2));
        requireDone(lab.tryOpen());
        announce(lab, upstream.address());
        requireDone(lab.tryAwaitEndpoints(1));
        for (const Case &item : cases) {
            reply = item.bytes;
            announce(lab, upstream.address());
            const HttpReply told = lab.client.http().fetch(lab.client.callThrough(CallerSide, "order-desk", "/lookup/1"));
            const std::string where = withSeed(std::to_string(item.bytes.size()) + " bytes: " + item.bytes.substr(0, 100) + "\n told "
                + std::to_string(told.status) + ' ' + told.body.substr(0, 100));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, item.isWhole ? 200U : 502U, told.status);
            CPPUNIT_ASSERT_MESSAGE(where, !item.isWhole || told.body == large);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTruncatedAnswers);

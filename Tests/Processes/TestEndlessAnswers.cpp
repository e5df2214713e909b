#include "KeptCaller.h"
#include "ProcessTest.h"

#include <Support/ScriptedUpstream.h>

#include <deque>

using namespace Fuchsiastep;

namespace {

constexpr Duration Limit = std::chrono::seconds(60);
constexpr std::size_t SoundUpstreams = 2;
/// The proxy beside the faulty upstream, and one with no upstream.
constexpr std::size_t BesideFaulty = 2;
constexpr std::size_t Elsewhere = 3;
constexpr std::uint64_t MemoryMegabytes = 88;
constexpr std::uint64_t MemoryBytes = MemoryMegabytes * 1'000'000;

std::string orderText(const std::string &key)
{
    const std::string body = "{}";
    return "POST /v1/call/order-desk/slow/100/" + key
        + " HTTP/1.1\r\nHost: x\r\nfuchsiastep-caller: till\r\nfuchsiastep-deadline-ms: 20000\r\nidempotency-key: " + key
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

/// An upstream that writes answers without end, behind the proxies of two instances that also carry orders for sound upstreams.
class TestEndlessAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEndlessAnswers);
    CPPUNIT_TEST(memoryStaysBoundedAndOrdersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a proxy that ends, or uses more memory than its instance has, because of what one faulty upstream writes:
    /// heads and bodies without end, and a length that no memory holds. The orders of the same proxies all get their answer.
    void memoryStaysBoundedAndOrdersAreAnswered()
    {
        DeploymentPlan plan = testPlan(SoundUpstreams);
        ServicePlan faulty;
        faulty.name = "drawings";
        faulty.upstreams = 0;
        plan.services.push_back(faulty);
        plan.limits = {{"memory_mb", MemoryMegabytes}};
        const std::string own = "HTTP/1.1 200 OK\r\n";
        const std::string counted = own + "Content-Length: 4000000000000000\r\n\r\nxxxx";
        const std::vector<ScriptedUpstream::Reply> replies {
            {counted},
            {own, "Field: value\r\n"},
            {own + "Content-Length: 99999999\r\n\r\n", "x"},
            {own + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + std::string(4096, 'x') + "\r\n"},
            {own + "\r\n", "x"},
        };
        ScriptedUpstream::Reply reply;
        ScriptedUpstream upstream([&reply](std::size_t, std::size_t) { return reply; });
        LabSession lab(plan, testOptions(SoundUpstreams + 2));
        requireDone(lab.tryOpen());

        std::size_t sent = 0;
        std::deque<KeptCaller> callers;
        for (const std::size_t proxy : {BesideFaulty, Elsewhere}) {
            constexpr int CallersOfProxy = 2;
            for (int caller = 0; caller < CallersOfProxy; ++caller) {
                callers.emplace_back(lab.fleet.at(proxy).callers, [&sent] {
                    const std::string key = "order-" + std::to_string(++sent);
                    return std::pair(orderText(key), key);
                });
            }
        }
        std::vector<std::string> failures;
        for (const ScriptedUpstream::Reply &item : replies) {
            for (const std::size_t count : {1U, 4U, 16U}) {
                reply = item;
                announce(lab, upstream.address());
                requireDone(lab.tryAwaitEndpoints(SoundUpstreams + 1));
                std::vector<HttpCall> calls;
                for (std::size_t index = 0; index < count; ++index) {
                    calls.push_back(lab.client.callThrough(index % 2 == 0 ? BesideFaulty : Elsewhere, faulty.name, "/plan"));
                    calls.back().timeout = Limit;
                }
                const std::vector<HttpReply> told = lab.client.http().fetchAll(std::move(calls));
                const std::string where = std::to_string(count) + " times " + item.bytes.substr(0, 60);
                for (const HttpReply &answer : told) {
                    if (answer.status != 502) {
                        failures.push_back(where + " told " + std::to_string(answer.status) + ' ' + answer.body);
                    }
                }
                for (const std::size_t proxy : lab.fleet.all()) {
                    const std::uint64_t peak = lab.fleet.at(proxy).proxy->peakMemoryBytes();
                    if (peak == 0 || peak > MemoryBytes) {
                        failures.push_back(where + ": proxy " + std::to_string(proxy) + " used " + std::to_string(peak) + " bytes");
                    }
                }
                CPPUNIT_ASSERT_MESSAGE(withSeed(joined(failures)), failures.empty());
            }
        }
        for (const KeptCaller &caller : callers) {
            CPPUNIT_ASSERT_MESSAGE(withSeed("an order was not answered"), !caller.ended().empty());
            for (const KeptCaller::Ended &ended : caller.ended()) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed(ended.key + ' ' + ended.body), std::uint16_t(200), ended.status);
            }
        }
    }

    static void announce(LabSession &lab, const SocketAddress &upstream)
    {
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + lab.fleet.at(BesideFaulty).control.toString() + "/v1/upstream/announce";
        call.body =
            JsonValue(JsonValue::Object {{"upstream", "faulty"}, {"service", "drawings"}, {"address", upstream.toString()}, {"slots", 16}})
                .toText();
        const unsigned status = lab.client.http().fetch(std::move(call)).status;
        CPPUNIT_ASSERT_MESSAGE(withSeed("announcement: " + std::to_string(status)), status >= 200 && status < 300);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEndlessAnswers);

#include "ProcessTest.h"

#include <LibWire/LibWire.h>
#include <Support/MainLoop.h>

#include <deque>
#include <functional>
#include <memory>

using namespace Fuchsiastep;

namespace {

constexpr std::uint64_t MemoryMegabytes = 88;
constexpr std::uint64_t MemoryBytes = MemoryMegabytes * 1'000'000;
constexpr std::size_t CrowdSize = 300;
/// The crowd, and what a proxy of a small fleet opens for itself.
constexpr std::size_t MaximumDescriptors = CrowdSize + 150;
constexpr Duration SendLimit = std::chrono::seconds(60);

/// Head of a call that the proxy would carry, up to its last field.
std::string callHead(const std::string &method)
{
    return method + " /v1/call/order-desk/x HTTP/1.1\r\nHost: x\r\nfuchsiastep-caller: till\r\nidempotency-key: k\r\n";
}

std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

std::string shortLines()
{
    return callHead("GET") + repeated("a:\r\n", 3900);
}

std::string distinctLines()
{
    std::string text = callHead("GET");
    for (int number = 0; text.size() < 15'900; ++number) {
        text += std::to_string(number) + ":\r\n";
    }
    return text;
}

std::string foldedLines()
{
    return callHead("GET") + "a: b\r\n" + repeated(" c\r\n", 3800);
}

std::string countedBody()
{
    return callHead("POST") + "Content-Length: 700001\r\n\r\n" + std::string(700'000, 'x');
}

std::string largeChunks()
{
    constexpr std::size_t ChunkBytes = 0x10000;
    return callHead("POST") + "Transfer-Encoding: chunked\r\n\r\n" + repeated("10000;a=b\r\n" + std::string(ChunkBytes, 'x') + "\r\n", 10);
}

std::string smallChunks()
{
    return callHead("POST") + "Transfer-Encoding: chunked\r\n\r\n" + repeated("1\r\nx\r\n", 250'000);
}

struct Crowd
{
    std::string name;
    std::function<std::string()> bytes;
};

} // namespace

/// Clients that stop just short of the end of a request of legal size and stay open, on the ports of one proxy.
class TestUntrustedClients : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestUntrustedClients);
    CPPUNIT_TEST(shortHeaderLines);
    CPPUNIT_TEST(distinctHeaderLines);
    CPPUNIT_TEST(foldedHeaderLines);
    CPPUNIT_TEST(bodiesWithALength);
    CPPUNIT_TEST(bodiesInLargeChunks);
    CPPUNIT_TEST(bodiesInSmallChunks);
    CPPUNIT_TEST_SUITE_END();

    void shortHeaderLines()
    {
        run({"short lines", shortLines});
    }
    void distinctHeaderLines()
    {
        run({"distinct lines", distinctLines});
    }
    void foldedHeaderLines()
    {
        run({"folded lines", foldedLines});
    }
    void bodiesWithALength()
    {
        run({"bodies with a length", countedBody});
    }
    void bodiesInLargeChunks()
    {
        run({"large chunks", largeChunks});
    }
    void bodiesInSmallChunks()
    {
        run({"small chunks", smallChunks});
    }

    /// Guards against a proxy that ends, or uses more memory or descriptors than its instance has, because of many unfinished
    /// requests; and against one that answers nobody else afterwards.
    static void run(const Crowd &crowd)
    {
        DeploymentPlan plan = testPlan(1);
        plan.limits = {{"memory_mb", MemoryMegabytes}};
        const std::string bytes = crowd.bytes();
        for (const bool isControl : {false, true}) {
            const std::string where = crowd.name + (isControl ? ", control port" : ", callers' port");
            LabSession lab(plan, testOptions(2));
            requireDone(lab.tryOpen());
            const Instance &instance = lab.fleet.at(0);
            const SocketAddress port = isControl ? instance.control : instance.callers;
            std::deque<std::unique_ptr<TcpStream>> clients;
            std::size_t ended = 0;
            for (std::size_t number = 0; number < CrowdSize; ++number) {
                clients.push_back(TcpStream::connect(
                    port, [](std::string_view) {}, [&ended](const StreamEnd &) { ++ended; }));
                clients.back()->send(bytes);
            }
            const auto areSent = [&] {
                return std::all_of(
                    clients.begin(), clients.end(), [](const auto &client) { return !client->isOpen() || client->bytesQueued() == 0; });
            };
            // A client that the proxy does not read any more has sent what it could.
            runLoopUntil(areSent, SendLimit);
            runLoopUntil([] { return false; }, std::chrono::milliseconds(500));
            CPPUNIT_ASSERT_MESSAGE(withSeed(where + ": the proxy has ended"), instance.isProxyRunning());
            const std::uint64_t peak = instance.proxy->peakMemoryBytes();
            CPPUNIT_ASSERT_MESSAGE(withSeed(where + ": " + std::to_string(peak) + " bytes"), peak > 0 && peak <= MemoryBytes);
            const std::size_t descriptors = instance.proxy->openDescriptors();
            CPPUNIT_ASSERT_MESSAGE(
                withSeed(where + ": " + std::to_string(descriptors) + " descriptors"), descriptors <= MaximumDescriptors);
            const HttpReply reply = lab.client.http().fetch(lab.client.callThrough(0, "order-desk", "/lookup"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(withSeed(where + ": " + reply.body), 200U, static_cast<unsigned>(reply.status));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUntrustedClients);

#include <LibWire/LibWire.h>
#include <Support/MainLoop.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace Fuchsiastep {

class TestTcpStream : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTcpStream);
    CPPUNIT_TEST(testTurnOfTheMainLoopDoesNotGrowWithConnections);
    CPPUNIT_TEST(testBytesBeforeTheEndAreRead);
    CPPUNIT_TEST(testStreamsMayEndEachOther);
    CPPUNIT_TEST(testLargeOutputIsFlushed);
    CPPUNIT_TEST(testReadingCanBePaused);
    CPPUNIT_TEST_SUITE_END();

    /// Accepts connections and keeps what they receive.
    struct Server
    {
        Server()
            : listener(valueOf(TcpListener::tryListen({"127.0.0.1", 0}, [this](GSocket *socket) {
                const std::size_t index = streams.size();
                received.emplace_back();
                streams.push_back(TcpStream::adopt(
                    socket,
                    [this, index](std::string_view bytes) { received[index] += bytes; },
                    [this](const StreamEnd &end) { ends.push_back(end); }));
            })))
        { }

        std::vector<std::string> received;
        std::vector<std::unique_ptr<TcpStream>> streams;
        std::vector<StreamEnd> ends;
        std::unique_ptr<TcpListener> listener;
    };

    static gint descriptorsOfTheMainLoop()
    {
        constexpr std::size_t Maximum = 1000;
        std::array<GPollFD, Maximum> descriptors {};
        GMainContext *context = g_main_context_default();
        CPPUNIT_ASSERT(g_main_context_acquire(context) != FALSE);
        gint priority = 0;
        gint timeout = 0;
        g_main_context_prepare(context, &priority);
        const gint count =
            g_main_context_query(context, G_PRIORITY_LOW, &timeout, descriptors.data(), static_cast<gint>(descriptors.size()));
        g_main_context_check(context, priority, descriptors.data(), count);
        g_main_context_release(context);
        return count;
    }

    // Guards against a proxy whose cost of each event grows with the fleet, because the main loop looks at every connection
    // in each turn.
    void testTurnOfTheMainLoopDoesNotGrowWithConnections()
    {
        constexpr std::size_t Connections = 200;
        Server server;
        std::vector<std::unique_ptr<TcpStream>> clients;
        std::array<gint, 2> counts {};
        for (gint &count : counts) {
            for (std::size_t i = 0; i < Connections; ++i) {
                clients.push_back(TcpStream::connect(
                    server.listener->address(), [](std::string_view) {}, [](const StreamEnd &) {}));
            }
            CPPUNIT_ASSERT(runUntil([&] { return server.streams.size() == clients.size(); }));
            count = descriptorsOfTheMainLoop();
        }
        CPPUNIT_ASSERT_EQUAL(counts[0], counts[1]);
        clients.back()->send("still alive");
        CPPUNIT_ASSERT(runUntil([&] { return server.received.back() == "still alive"; }));
    }

    // Guards against an answer that is lost because the peer closed while bytes to it were still waiting.
    void testBytesBeforeTheEndAreRead()
    {
        Server server;
        std::string received;
        bool hasEnded = false;
        const auto client = TcpStream::connect(
            server.listener->address(), [&](std::string_view bytes) { received += bytes; }, [&](const StreamEnd &) { hasEnded = true; });
        constexpr std::size_t MoreThanTheBuffers = 64ULL * 1024 * 1024;
        CPPUNIT_ASSERT(runUntil([&] { return server.streams.size() == 1; }));
        server.streams[0]->send("refused early");
        server.streams[0]->close();
        client->send(std::string(MoreThanTheBuffers, 'x'));
        CPPUNIT_ASSERT(runUntil([&] { return hasEnded; }));
        CPPUNIT_ASSERT_EQUAL(std::string("refused early"), received);
    }

    // Guards against a callback into a stream that another stream's callback in the same turn has closed or destroyed.
    void testStreamsMayEndEachOther()
    {
        Server server;
        std::vector<std::unique_ptr<TcpStream>> clients(2);
        std::size_t callbacks = 0;
        for (std::size_t i = 0; i < clients.size(); ++i) {
            clients[i] = TcpStream::connect(
                server.listener->address(),
                [&clients, &callbacks, i](std::string_view) {
                    ++callbacks;
                    clients[1 - i].reset();
                },
                [](const StreamEnd &) {});
        }
        CPPUNIT_ASSERT(runUntil([&] { return server.streams.size() == 2; }));
        server.streams[0]->send("x");
        server.streams[1]->send("x");
        CPPUNIT_ASSERT(runUntil([&] { return server.ends.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), callbacks);
    }

    // Guards against output that stops where the operating system takes only a part of it.
    void testLargeOutputIsFlushed()
    {
        constexpr std::size_t Bytes = 32ULL * 1024 * 1024;
        Server server;
        bool isFlushed = false;
        const auto client = TcpStream::connect(
            server.listener->address(), [](std::string_view) {}, [](const StreamEnd &) {});
        client->setFlushedHandler([&] { isFlushed = true; });
        client->send(std::string(Bytes, 'x'));
        CPPUNIT_ASSERT(runUntil([&] { return isFlushed && !server.received.empty() && server.received[0].size() == Bytes; }));
        client->finishSending();
        CPPUNIT_ASSERT(runUntil([&] { return server.ends.size() == 1 && server.ends[0].isOrderly; }));
    }

    // Guards against bytes that are read, and kept, although their reader has asked the peer to wait, and against a stream that
    // stays silent after that.
    void testReadingCanBePaused()
    {
        constexpr std::size_t Bytes = 32ULL * 1024 * 1024;
        Server server;
        const auto client = TcpStream::connect(
            server.listener->address(), [](std::string_view) {}, [](const StreamEnd &) {});
        CPPUNIT_ASSERT(runUntil([&] { return server.streams.size() == 1; }));
        server.streams[0]->setReading(false);
        client->send(std::string(Bytes, 'x'));
        const gint64 end = g_get_monotonic_time() + 200'000;
        runUntil([end] { return g_get_monotonic_time() > end; });
        CPPUNIT_ASSERT(server.received[0].empty());
        CPPUNIT_ASSERT(client->bytesQueued() > 0);
        server.streams[0]->setReading(true);
        CPPUNIT_ASSERT(runUntil([&] { return server.received[0].size() == Bytes; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTcpStream);

} // namespace Fuchsiastep

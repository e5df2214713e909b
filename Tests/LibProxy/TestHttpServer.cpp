#include <LibProxy/HttpServer.h>

#include <Support/RawClient.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <vector>

namespace Fuchsiastep {

class TestHttpServer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestHttpServer);
    CPPUNIT_TEST(testBodyLimit);
    CPPUNIT_TEST(testPathArrivesAsItWasSent);
    CPPUNIT_TEST(testAbandonedRequestIsReported);
    CPPUNIT_TEST(testRequestOfAClientThatLeftIsMarked);
    CPPUNIT_TEST(testClosedConnectionsAreFreed);
    CPPUNIT_TEST(testPipelinedRequestIsServed);
    CPPUNIT_TEST(testClosingAnswersWhatWasRead);
    CPPUNIT_TEST(testClosingServesIdleConnectionsOnce);
    CPPUNIT_TEST(testClosingServesPipelinesForATime);
    CPPUNIT_TEST(testMalformedHttpStopsNoOtherRequest);
    CPPUNIT_TEST(testAnswersGoToTheirOwnRequest);
    CPPUNIT_TEST(testHerdOfClientsConnects);
    CPPUNIT_TEST(testDestructionWithOpenRequests);
    CPPUNIT_TEST(testUnreadAnswersAreBounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t BodyLimit = 20'000;

    std::vector<HttpRequest> m_requests;
    std::vector<std::uint64_t> m_abandoned;
    std::unique_ptr<HttpServer> m_server;

public:
    void setUp() override
    {
        m_requests.clear();
        m_abandoned.clear();
        m_server = std::make_unique<HttpServer>(BodyLimit, [this](HttpServerEvent event) {
            std::visit(Overloaded {
                           [this](HttpRequest &request) { m_requests.push_back(std::move(request)); },
                           [this](const HttpRequestAbandoned &abandoned) { m_abandoned.push_back(abandoned.token); },
                       },
                event);
        });
        CPPUNIT_ASSERT(!isError(m_server->tryListen({"127.0.0.1", 0})));
    }

    void tearDown() override
    {
        m_server.reset();
    }

private:
    bool waitForRequests(std::size_t count)
    {
        return runUntil([this, count] { return m_requests.size() >= count; });
    }

    /// Sends a whole request, answers it and checks the answer.
    void assertServes()
    {
        const std::string path = "/good-" + std::to_string(m_requests.size());
        const auto isGood = [&path](const HttpRequest &request) {
            return request.path == path;
        };
        RawClient client(m_server->address());
        client.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(runUntil([this, &isGood] { return std::any_of(m_requests.begin(), m_requests.end(), isGood); }));
        const auto good = std::find_if(m_requests.begin(), m_requests.end(), isGood);
        m_server->answer({good->token, 200, {{"x-mark", "yes"}}, "good body"});
        CPPUNIT_ASSERT(client.receive("good body"));
        CPPUNIT_ASSERT(client.received.find("x-mark: yes") != std::string::npos);
    }

    static std::string chunked(std::size_t bytes)
    {
        constexpr std::size_t ChunkBytes = 1000;
        std::string text;
        for (std::size_t sent = 0; sent < bytes; sent += ChunkBytes) {
            text += "3e8\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
        }
        return text + "0\r\n\r\n";
    }

    // Guards against bodies that fill the memory, whatever length they claim.
    void testBodyLimit()
    {
        struct Case
        {
            std::string name;
            std::string field;
            std::string body;
            std::size_t kept;
            bool isTooLarge;
        };
        const auto length = [](std::size_t bytes) {
            return "Content-Length: " + std::to_string(bytes);
        };
        const std::string chunks = "Transfer-Encoding: chunked";
        const std::vector<Case> cases {
            {"empty", length(0), "", 0, false},
            {"at the limit", length(BodyLimit), std::string(BodyLimit, 'x'), BodyLimit, false},
            {"over the limit", length(BodyLimit + 1), std::string(BodyLimit + 1, 'x'), 0, true},
            {"far over the limit", length(3'000'000), std::string(3'000'000, 'x'), 0, true},
            {"chunked at the limit", chunks, chunked(BodyLimit), BodyLimit, false},
            {"chunked over the limit", chunks, chunked(BodyLimit + 1), 0, true},
            {"chunked far over the limit", chunks, chunked(3'000'000), 0, true},
        };
        for (const Case &item : cases) {
            const std::size_t before = m_requests.size();
            RawClient client(m_server->address());
            client.send("POST /x HTTP/1.1\r\nHost: x\r\n" + item.field + "\r\n\r\n" + item.body);
            CPPUNIT_ASSERT_MESSAGE(item.name, waitForRequests(before + 1));
            const HttpRequest &request = m_requests.back();
            CPPUNIT_ASSERT_MESSAGE(item.name, (request.rejection == ErrorCode::BodyTooLarge) == item.isTooLarge);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.kept, request.body.size());
            m_server->answer({request.token, 413, {}, "done"});
            CPPUNIT_ASSERT_MESSAGE(item.name, client.receive("done"));
        }
    }

    // Guards against a decoded path: an escaped '/' or '?' would become another resource at the upstream.
    void testPathArrivesAsItWasSent()
    {
        RawClient client(m_server->address());
        client.send("GET /v1/call/s/a%2Fb%3Fc%20d?q=%26 HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(waitForRequests(1));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/call/s/a%2Fb%3Fc%20d"), m_requests.front().path);
        CPPUNIT_ASSERT_EQUAL(std::string("q=%26"), m_requests.front().query);
    }

    // Guards against work that goes on for a caller that is gone.
    void testAbandonedRequestIsReported()
    {
        RawClient gone(m_server->address());
        gone.send("GET /gone HTTP/1.1\r\nHost: x\r\n\r\n");
        RawClient stays(m_server->address());
        stays.send("GET /stays HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(waitForRequests(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, m_server->requestsOpen());
        gone.close();
        CPPUNIT_ASSERT(runUntil([this] { return !m_abandoned.empty(); }));
        const std::uint64_t goneToken = m_requests.at(m_requests[0].path == "/gone" ? 0 : 1).token;
        const std::uint64_t staysToken = m_requests.at(m_requests[0].path == "/gone" ? 1 : 0).token;
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_abandoned.size());
        CPPUNIT_ASSERT_EQUAL(goneToken, m_abandoned.front());
        m_server->answer({goneToken, 200, {}, "too late"});
        m_server->answer({staysToken, 200, {}, "in time"});
        CPPUNIT_ASSERT(stays.receive("in time"));
        CPPUNIT_ASSERT(runUntil([this] { return m_server->requestsOpen() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_abandoned.size());
    }

    // Guards against work for a caller that had left before its request was read, as happens where the proxy is short of
    // processor time, and against an announcement of an upstream that is lost for the same reason.
    void testRequestOfAClientThatLeftIsMarked()
    {
        RawClient gone(m_server->address());
        gone.send("GET /gone HTTP/1.1\r\nHost: x\r\n\r\n");
        gone.close();
        assertServes();
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, m_requests.size());
        for (const HttpRequest &request : m_requests) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(request.path, request.path == "/gone", request.hasClientLeft);
        }
        CPPUNIT_ASSERT(runUntil([this] { return m_server->requestsOpen() == 0; }));
    }

    // Guards against descriptors that run out because callers give up, or close a connection after its answer.
    void testClosedConnectionsAreFreed()
    {
        constexpr std::size_t Clients = 50;
        const auto openDescriptors = [] {
            const std::filesystem::directory_iterator descriptors("/proc/self/fd");
            return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
        };
        assertServes();
        const std::size_t before = openDescriptors();
        for (std::size_t index = 0; index < Clients; ++index) {
            assertServes();
            RawClient client(m_server->address());
            client.send("GET /gone HTTP/1.1\r\nHost: x\r\n\r\n");
            CPPUNIT_ASSERT(waitForRequests(2 * index + 3));
        }
        CPPUNIT_ASSERT(runUntil([this] { return m_abandoned.size() == Clients; }));
        CPPUNIT_ASSERT(runUntil([&openDescriptors, before] { return openDescriptors() <= before; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_server->requestsOpen());
    }

    // Guards against a second request on the connection that is taken for its end, that waits for the answer to the first,
    // or whose answer overtakes that one.
    void testPipelinedRequestIsServed()
    {
        RawClient client(m_server->address());
        client.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(waitForRequests(1));
        client.send("GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(waitForRequests(2));
        m_server->answer({m_requests[1].token, 200, {}, "second;"});
        while (g_main_context_iteration(nullptr, FALSE) != FALSE) { }
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, m_server->requestsOpen());
        m_server->answer({m_requests[0].token, 200, {}, "first;"});
        CPPUNIT_ASSERT(client.receive("first;"));
        CPPUNIT_ASSERT(client.receive("second;"));
        CPPUNIT_ASSERT(client.received.find("first;") < client.received.find("second;"));
        CPPUNIT_ASSERT(m_abandoned.empty());
    }

    // Guards against requests that are cut without an answer after they were passed on, because the answer to an earlier
    // request of their connection is the last one there.
    void testClosingAnswersWhatWasRead()
    {
        RawClient client(m_server->address());
        client.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(waitForRequests(2));
        m_server->startClosing(Duration(0));
        client.send("GET /crosses-the-close HTTP/1.1\r\nHost: x\r\n\r\n");
        m_server->answer({m_requests[0].token, 200, {}, "first;"});
        CPPUNIT_ASSERT(client.receive("first;"));
        CPPUNIT_ASSERT(client.received.find("connection: close") == std::string::npos);
        m_server->answer({m_requests[1].token, 200, {}, "second;"});
        CPPUNIT_ASSERT(client.receive("second;"));
        CPPUNIT_ASSERT(client.received.find("connection: close") != std::string::npos);
        CPPUNIT_ASSERT(client.waitForClose());
        CPPUNIT_ASSERT(m_abandoned.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, m_requests.size());
    }

    // Guards against a close that crosses the next request of an idle connection.
    void testClosingServesIdleConnectionsOnce()
    {
        RawClient client(m_server->address());
        client.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(waitForRequests(1));
        m_server->answer({m_requests[0].token, 200, {}, "first;"});
        CPPUNIT_ASSERT(client.receive("first;"));
        m_server->startClosing(Duration(0));
        client.send("GET /second HTTP/1.1\r\nHost: x\r\n\r\nGET /behind HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(waitForRequests(2));
        m_server->answer({m_requests[1].token, 200, {}, "second;"});
        CPPUNIT_ASSERT(client.receive("second;"));
        CPPUNIT_ASSERT(client.received.find("connection: close") != std::string::npos);
        CPPUNIT_ASSERT(client.waitForClose());
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, m_requests.size());
        CPPUNIT_ASSERT(m_abandoned.empty());
    }

    // Guards against pipelined requests that have to be sent again although there is time to serve them.
    void testClosingServesPipelinesForATime()
    {
        RawClient client(m_server->address());
        client.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(waitForRequests(1));
        m_server->answer({m_requests[0].token, 200, {}, "first;"});
        CPPUNIT_ASSERT(client.receive("first;"));
        constexpr Duration LongerThanTheTest = std::chrono::seconds(60);
        m_server->startClosing(LongerThanTheTest);
        client.send("GET /second HTTP/1.1\r\nHost: x\r\n\r\nGET /third HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(waitForRequests(3));
        m_server->answer({m_requests[1].token, 200, {}, "second;"});
        CPPUNIT_ASSERT(client.receive("second;"));
        CPPUNIT_ASSERT(client.received.find("connection: close") == std::string::npos);
        m_server->answer({m_requests[2].token, 200, {}, "third;"});
        CPPUNIT_ASSERT(client.receive("third;"));
        CPPUNIT_ASSERT(client.received.find("connection: close") != std::string::npos);
        CPPUNIT_ASSERT(client.waitForClose());
    }

    // Guards against one client that stops the server for the others.
    void testMalformedHttpStopsNoOtherRequest()
    {
        const std::string head = "GET / HTTP/1.1\r\nHost: x\r\n";
        const std::vector<std::string> texts {
            "\r\n\r\n\r\n\r\n",
            "GARBAGE\r\n\r\n",
            std::string("\0\xff\x16\x03\x01\r\n\r\n", 9),
            "GET\r\n\r\n",
            "GET / HTTP/9.9\r\n\r\n",
            "GET http://[:::/ HTTP/1.1\r\nHost: x\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999999\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nx",
            head + "X-Long: " + std::string(300'000, 'h') + "\r\n\r\n",
            head + std::string(300'000, 'n'),
        };
        std::vector<std::unique_ptr<RawClient>> clients;
        for (const std::string &text : texts) {
            clients.push_back(std::make_unique<RawClient>(m_server->address()));
            clients.back()->send(text);
            assertServes();
        }
        clients.clear();
        assertServes();
        for (const HttpRequest &request : m_requests) {
            for (const auto &[name, value] : request.headers) {
                CPPUNIT_ASSERT_MESSAGE("header fields above the limit of 100 KiB", value.size() <= 100 * 1024);
            }
        }
    }

    // Guards against answers that are mixed up when they arrive out of order, twice or for no request (invariant I4).
    void testAnswersGoToTheirOwnRequest()
    {
        constexpr std::size_t Clients = 20;
        std::vector<std::unique_ptr<RawClient>> clients;
        for (std::size_t index = 0; index < Clients; ++index) {
            clients.push_back(std::make_unique<RawClient>(m_server->address()));
            clients.back()->send("GET /item-" + std::to_string(index) + " HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        CPPUNIT_ASSERT(waitForRequests(Clients));
        for (std::size_t index = Clients; index-- > 0;) {
            m_server->answer({m_requests[index].token, 200, {}, "answer to " + m_requests[index].path + ';'});
            m_server->answer({m_requests[index].token, 500, {}, "second answer;"});
        }
        m_server->answer({999'999, 200, {}, "nobody;"});
        for (std::size_t index = 0; index < Clients; ++index) {
            CPPUNIT_ASSERT_MESSAGE(clients[index]->received, clients[index]->receive("answer to /item-" + std::to_string(index) + ';'));
            CPPUNIT_ASSERT(clients[index]->received.find("second") == std::string::npos);
        }
        CPPUNIT_ASSERT(m_abandoned.empty());
    }

    // Guards against a short listening queue: callers that come back all at once would wait for retransmissions.
    void testHerdOfClientsConnects()
    {
        constexpr std::size_t Clients = 200;
        std::vector<std::unique_ptr<RawClient>> clients;
        for (std::size_t index = 0; index < Clients; ++index) {
            clients.push_back(std::make_unique<RawClient>(m_server->address()));
            CPPUNIT_ASSERT_MESSAGE("client " + std::to_string(index), clients.back()->isOpen());
        }
    }

    // Guards against callbacks into a server that is gone, when a proxy stops with requests open.
    void testDestructionWithOpenRequests()
    {
        RawClient client(m_server->address());
        client.send("GET /open HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(waitForRequests(1));
        m_server.reset();
        CPPUNIT_ASSERT(client.waitForClose());
        CPPUNIT_ASSERT(m_abandoned.empty());
    }

    // Guards against memory that is filled by clients that read their answers slowly or not at all, with the end of a client
    // that reads. One answer of the permitted length is kept, however slowly it is read.
    void testUnreadAnswersAreBounded()
    {
        // Beside what the buffers of the sockets take, which is up to some 10 MB.
        constexpr std::size_t Limit = 16ULL * 1024 * 1024;
        const std::string body(Limit, 'x');
        m_server->limitUnreadAnswers(Limit);
        const std::string request = "GET /large HTTP/1.1\r\nHost: x\r\n\r\n";
        RawClient first(m_server->address());
        first.send(request);
        CPPUNIT_ASSERT(waitForRequests(1));
        m_server->answer({m_requests[0].token, 200, {}, body});
        assertServes();
        CPPUNIT_ASSERT(m_abandoned.empty());
        RawClient second(m_server->address());
        for (int repeated = 0; repeated < 3; ++repeated) {
            second.send(request);
        }
        CPPUNIT_ASSERT(waitForRequests(5));
        for (std::size_t index = 2; index < 5; ++index) {
            m_server->answer({m_requests[index].token, 200, {}, body});
        }
        CPPUNIT_ASSERT(runUntil([this] { return !m_abandoned.empty(); }));
        CPPUNIT_ASSERT(second.waitForClose());
        CPPUNIT_ASSERT_MESSAGE("the smaller answer is whole", first.receive(body));
        assertServes();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestHttpServer);

} // namespace Fuchsiastep

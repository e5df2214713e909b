#include <LibProxy/PeerLinks.h>

#include <Support/RawClient.h>

#include <cppunit/extensions/HelperMacros.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <vector>

namespace Fuchsiastep {

class TestPeerLinks : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPeerLinks);
    CPPUNIT_TEST(testFramesArriveInOrder);
    CPPUNIT_TEST(testCancelledRequestIsNotDelivered);
    CPPUNIT_TEST(testHostileBytesCloseOnlyTheirConnection);
    CPPUNIT_TEST(testConnectionThatNeverOpenedIsReported);
    CPPUNIT_TEST(testConnectionThatHangsIsReported);
    CPPUNIT_TEST(testPeerAtAnotherAddress);
    CPPUNIT_TEST(testIdleConnectionsAreClosed);
    CPPUNIT_TEST(testConnectionWithAnOpenRequestIsNotIdle);
    CPPUNIT_TEST(testSilentConnectionIsClosed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t MaximumQueuedBytes = 64ULL * 1024 * 1024;

    /// One proxy with its links.
    struct Peer
    {
        explicit Peer(const std::string &proxyId)
            : links({HelloFrame::CurrentProtocol, proxyId, 1, "gatton"}, MaximumQueuedBytes, clock, metrics, [this](PeerLinksEvent event) {
                std::visit(Overloaded {
                               [this](PeerFrameReceived &frame) { frames.push_back(std::move(frame)); },
                               [this](const PeerConnectionClosed &loss) { closed.push_back(loss); },
                               [this](const PeerLinkEstablished &) { ++established; },
                           },
                    event);
            })
        {
            CPPUNIT_ASSERT(!isError(links.tryListen({"127.0.0.1", 0})));
        }

        Clock clock = Clock::manual();
        MetricsRegistry metrics;
        std::vector<PeerFrameReceived> frames;
        std::vector<PeerConnectionClosed> closed;
        std::size_t established = 0;
        PeerLinks links;
    };

    /// An address at which nothing listens.
    static SocketAddress closedAddress()
    {
        const Peer listener("closed");
        return listener.links.address();
    }

    /// A listener whose queue of new connections is full, so that it answers no further attempt, as behind a cut.
    class FullListener
    {
    public:
        FullListener()
        {
            m_sockets.push_back(socket(AF_INET, SOCK_STREAM, 0));
            socklen_t size = sizeof(m_address);
            m_address.sin_family = AF_INET;
            m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            CPPUNIT_ASSERT_EQUAL(0, bind(m_sockets.front(), reinterpret_cast<sockaddr *>(&m_address), size));
            CPPUNIT_ASSERT_EQUAL(0, listen(m_sockets.front(), 0));
            getsockname(m_sockets.front(), reinterpret_cast<sockaddr *>(&m_address), &size);
            constexpr int Fillers = 4;
            for (int filler = 0; filler < Fillers; ++filler) {
                m_sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
                const int result = ::connect(m_sockets.back(), reinterpret_cast<sockaddr *>(&m_address), size);
                CPPUNIT_ASSERT(result == 0 || errno == EINPROGRESS);
            }
        }
        ~FullListener()
        {
            for (const int descriptor : m_sockets) {
                ::close(descriptor);
            }
        }
        FullListener(const FullListener &) = delete;
        FullListener &operator=(const FullListener &) = delete;

        SocketAddress address() const
        {
            return {"127.0.0.1", ntohs(m_address.sin_port)};
        }

    private:
        sockaddr_in m_address {};
        std::vector<int> m_sockets;
    };

    // Guards against requests that wait their whole time for a connection behind a cut, though they have run nowhere.
    void testConnectionThatHangsIsReported()
    {
        const FullListener listener;
        Peer peer("p-1");
        const Clock clock = Clock::system();
        const TimePoint begin = clock.now();
        const std::uint64_t id = peer.links.sendTo("p-2", listener.address(), VersionNudgeFrame {1});
        CPPUNIT_ASSERT(runUntil([&peer] { return !peer.closed.empty(); }));
        CPPUNIT_ASSERT_EQUAL(id, peer.closed.front().connectionId);
        CPPUNIT_ASSERT(peer.closed.front().neverConnected);
        // Well below the shortest time that callers commonly give, one second, also on a busy machine.
        CPPUNIT_ASSERT(clock.now() - begin < std::chrono::seconds(1));
    }

    // Guards against frames that are lost, reordered or given to the wrong peer.
    void testFramesArriveInOrder()
    {
        constexpr std::uint64_t Frames = 500;
        Peer first("p-1");
        Peer second("p-2");
        for (std::uint64_t version = 1; version <= Frames; ++version) {
            first.links.sendTo("p-2", second.links.address(), VersionNudgeFrame {version});
        }
        CPPUNIT_ASSERT(runUntil([&second] { return second.frames.size() == Frames; }));
        for (std::uint64_t index = 0; index < Frames; ++index) {
            CPPUNIT_ASSERT_EQUAL(std::string("p-1"), second.frames[index].proxyId);
            CPPUNIT_ASSERT_EQUAL(index + 1, std::get<VersionNudgeFrame>(second.frames[index].frame).version);
        }
        second.links.sendOn(second.frames.front().connectionId, VersionNudgeFrame {7});
        second.links.sendOn(999, VersionNudgeFrame {8});
        CPPUNIT_ASSERT(runUntil([&first] { return first.frames.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::string("p-2"), first.frames.front().proxyId);
        CPPUNIT_ASSERT(first.closed.empty() && second.closed.empty());
    }

    // Guards against runs for callers that have left: a proxy that is short of processor time finds a request and its cancel
    // in one read. Other requests and cancels are told in order.
    void testCancelledRequestIsNotDelivered()
    {
        Peer first("p-1");
        Peer second("p-2");
        const auto request = [](std::uint64_t id) {
            RequestFrame frame;
            frame.requestId = id;
            return frame;
        };
        const SocketAddress address = second.links.address();
        for (const Frame &frame : std::vector<Frame> {request(1), request(2), CancelFrame {1}, CancelFrame {9}, request(3)}) {
            first.links.sendTo("p-2", address, frame);
        }
        CPPUNIT_ASSERT(runUntil([&second] { return second.frames.size() >= 4; }));
        std::string told;
        for (const PeerFrameReceived &received : second.frames) {
            if (const auto *frame = std::get_if<RequestFrame>(&received.frame)) {
                told += "request " + std::to_string(frame->requestId) + ' ';
            } else if (const auto *cancel = std::get_if<CancelFrame>(&received.frame)) {
                told += "cancel " + std::to_string(cancel->requestId) + ' ';
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string("request 2 cancel 1 cancel 9 request 3 "), told);
    }

    // Guards against bytes that crash a proxy, reach its tasks or close the connections of other peers.
    void testHostileBytesCloseOnlyTheirConnection()
    {
        struct Case
        {
            std::string name;
            std::string bytes;
        };
        const std::string hello = encodeFrame(HelloFrame {HelloFrame::CurrentProtocol, "p-9", 1, "gatton"});
        const std::vector<Case> cases {
            {"first frame is not Hello", encodeFrame(VersionNudgeFrame {4})},
            {"other protocol", encodeFrame(HelloFrame {HelloFrame::CurrentProtocol + 1, "p-9", 1, "gatton"})},
            {"garbage", std::string("\0\0\0\4\xc1\xc1\xc1\xc1", 8)},
            {"text of another protocol", "GET / HTTP/1.1\r\n\r\n"},
            {"frame too long", std::string("\x7f\xff\xff\xff", 4)},
            {"one byte above the limit", std::string("\0\x20\0\1", 4)},
            {"empty body", std::string("\0\0\0\0", 4)},
            {"garbage behind Hello", hello + std::string("\0\0\0\1\xc1", 5)},
            {"unknown type behind Hello", hello + std::string("\0\0\0\2\x91\x7f", 6)},
        };
        Peer first("p-1");
        Peer second("p-2");
        std::uint64_t sent = 0;
        for (const Case &item : cases) {
            const std::size_t closedBefore = second.closed.size();
            RawClient hostile(second.links.address());
            hostile.send(item.bytes);
            CPPUNIT_ASSERT_MESSAGE(item.name, hostile.waitForClose());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, closedBefore + 1, second.closed.size());
            CPPUNIT_ASSERT_MESSAGE(item.name, !second.closed.back().carriesRequests && !second.closed.back().neverConnected);
            first.links.sendTo("p-2", second.links.address(), VersionNudgeFrame {++sent});
            CPPUNIT_ASSERT_MESSAGE(item.name, runUntil([&second, sent] { return second.frames.size() == sent; }));
        }
        CPPUNIT_ASSERT(first.closed.empty());
        for (const PeerFrameReceived &frame : second.frames) {
            CPPUNIT_ASSERT_EQUAL(std::string("p-1"), frame.proxyId);
        }
    }

    // Guards against requests that are reported as unknown, or never, although no byte can have left (invariant I5).
    void testConnectionThatNeverOpenedIsReported()
    {
        struct Case
        {
            std::string name;
            SocketAddress address;
        };
        const std::vector<Case> cases {
            {"nothing listens", closedAddress()},
            {"the system refuses at once", {"127.255.255.255", 9}},
            {"not an IP address", {"order-desk-3", 9}},
        };
        for (const Case &item : cases) {
            Peer peer("p-1");
            const std::uint64_t id = peer.links.sendTo("p-2", item.address, VersionNudgeFrame {1});
            CPPUNIT_ASSERT_MESSAGE(item.name + ": no event inside sendTo", peer.closed.empty());
            CPPUNIT_ASSERT_MESSAGE(item.name, runUntil([&peer] { return !peer.closed.empty(); }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, std::size_t {1}, peer.closed.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, id, peer.closed.front().connectionId);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, std::string("p-2"), peer.closed.front().proxyId);
            CPPUNIT_ASSERT_MESSAGE(item.name, peer.closed.front().neverConnected && peer.closed.front().carriesRequests);
            // The next frame opens a new connection.
            const Peer other("p-2");
            CPPUNIT_ASSERT_MESSAGE(item.name, peer.links.sendTo("p-2", other.links.address(), VersionNudgeFrame {2}) != id);
            CPPUNIT_ASSERT_MESSAGE(item.name, runUntil([&other] { return other.frames.size() == 1; }));
        }
    }

    // Guards against frames for a replaced proxy that go on to its old address.
    void testPeerAtAnotherAddress()
    {
        Peer first("p-1");
        Peer oldPeer("p-2");
        Peer newPeer("p-2");
        const std::uint64_t oldId = first.links.sendTo("p-2", oldPeer.links.address(), VersionNudgeFrame {1});
        CPPUNIT_ASSERT(runUntil([&oldPeer] { return oldPeer.frames.size() == 1; }));
        const std::uint64_t newId = first.links.sendTo("p-2", newPeer.links.address(), VersionNudgeFrame {2});
        CPPUNIT_ASSERT(oldId != newId);
        CPPUNIT_ASSERT(runUntil([&newPeer] { return newPeer.frames.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, first.closed.size());
        CPPUNIT_ASSERT_EQUAL(oldId, first.closed.front().connectionId);
        CPPUNIT_ASSERT(!first.closed.front().neverConnected);
        CPPUNIT_ASSERT(runUntil([&oldPeer] { return oldPeer.closed.size() == 1; }));
    }

    // Guards against connections to 26,000 peers that stay open for ever.
    void testIdleConnectionsAreClosed()
    {
        Peer first("p-1");
        Peer second("p-2");
        first.links.sendTo("p-2", second.links.address(), VersionNudgeFrame {1});
        CPPUNIT_ASSERT(runUntil([&] { return second.frames.size() == 1 && first.established == 1; }));
        first.clock.advance(std::chrono::seconds(119));
        first.links.closeIdle();
        CPPUNIT_ASSERT(first.closed.empty());
        first.clock.advance(std::chrono::seconds(2));
        first.links.closeIdle();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, first.closed.size());
        CPPUNIT_ASSERT(runUntil([&second] { return second.closed.size() == 1; }));
    }

    // Guards against a long request that is cut off because nothing else is sent on its connection meanwhile.
    void testConnectionWithAnOpenRequestIsNotIdle()
    {
        Peer first("p-1");
        Peer second("p-2");
        RequestFrame request;
        request.requestId = 1;
        request.timeLeftMs = 300'000;
        first.links.sendTo("p-2", second.links.address(), request);
        CPPUNIT_ASSERT(runUntil([&] { return second.frames.size() == 1 && first.established == 1; }));
        first.clock.advance(std::chrono::seconds(299));
        first.links.closeIdle();
        CPPUNIT_ASSERT(first.closed.empty());
        first.clock.advance(std::chrono::seconds(2));
        first.links.closeIdle();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, first.closed.size());
    }

    // Guards against connections that hold a descriptor without ever saying who they are.
    void testSilentConnectionIsClosed()
    {
        Peer peer("p-1");
        RawClient silent(peer.links.address());
        silent.send("");
        CPPUNIT_ASSERT(runUntil([&peer] { return peer.links.connectionCount() == 1; }));
        peer.clock.advance(std::chrono::seconds(9));
        peer.links.closeIdle();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, peer.links.connectionCount());
        peer.clock.advance(std::chrono::seconds(2));
        peer.links.closeIdle();
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, peer.links.connectionCount());
        CPPUNIT_ASSERT(silent.waitForClose());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPeerLinks);

} // namespace Fuchsiastep

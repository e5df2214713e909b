#include <LibProxy/UpstreamClient.h>
#include <Support/MainLoop.h>
#include <Support/ScriptedUpstream.h>
#include <platform/PlatformAdapter.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <vector>

namespace Fuchsiastep {

/// UpstreamClient against upstreams that do not keep to the protocol.
class TestUpstreamAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestUpstreamAnswers);
    CPPUNIT_TEST(testRefusalOfAnEarlierRequest);
    CPPUNIT_TEST(testRefusedRequestTakesAnotherConnection);
    CPPUNIT_TEST(testRefusalsWithoutIdsEndTheConnection);
    CPPUNIT_TEST(testAnswersWithoutEnd);
    CPPUNIT_TEST(testAnswersWithoutEndShareOneLimit);
    CPPUNIT_TEST(testUpstreamIsNotReadWhileAnswersCannotLeave);
    CPPUNIT_TEST(testAnswersThatEndEarly);
    CPPUNIT_TEST(testStatusesThatAreNone);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t MaximumAnswerBytes = 4ULL * 1024 * 1024;
    static constexpr std::uint64_t MaximumReadBytes = 6ULL * 1024 * 1024;

    static EdgeProtocol protocol(EdgeKind kind)
    {
        ProxySettings settings;
        settings.upstream.service = "desk";
        return kind == EdgeKind::Native ? nativeProtocol() : platformProtocol(settings);
    }

    struct Fixture
    {
        explicit Fixture(ScriptedUpstream::Script script, EdgeKind kind = EdgeKind::Platform)
            : upstream(std::move(script))
            , edge(protocol(kind))
            , client(clock, edge, {MaximumAnswerBytes, MaximumReadBytes}, [this](UpstreamClientEvent event) {
                const std::uint64_t localId = std::visit([](const auto &ended) { return ended.localId; }, event);
                last = event;
                endOf.insert_or_assign(localId, std::move(event));
                ++ends;
            })
        {
            client.setUpstream(upstream.address(), 20);
        }

        void start(const std::string &id)
        {
            RequestFrame request;
            request.method = "GET";
            request.path = "/";
            request.traceId = id;
            request.headers["request-id"] = id;
            request.isRepeatable = true;
            ++started;
            client.start(started, request, std::chrono::seconds(1));
        }
        /// Runs a request to its end.
        void run(const std::string &id)
        {
            start(id);
            CPPUNIT_ASSERT_MESSAGE(id, runUntil([this] { return ends == started; }));
        }
        const UpstreamAnswered &answered() const
        {
            const auto *answer = std::get_if<UpstreamAnswered>(&last.value());
            CPPUNIT_ASSERT(answer != nullptr);
            return *answer;
        }

        Clock clock = Clock::system();
        ScriptedUpstream upstream;
        EdgeProtocol edge;
        std::uint64_t started = 0;
        std::uint64_t ends = 0;
        std::optional<UpstreamClientEvent> last;
        std::map<std::uint64_t, UpstreamClientEvent> endOf;
        UpstreamClient client;
    };

    static std::string answer(unsigned status, const std::string &fields, const std::string &body = {})
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    // Guards against "not run" for a request that runs: the upstream writes the refusal of an earlier request once more, just
    // before it answers, or instead of an answer.
    void testRefusalOfAnEarlierRequest()
    {
        const std::string refusal = answer(503, "Request-Id: r1\r\nNot-Executed: 1\r\n");
        const std::string refusalWithoutId = answer(503, "Not-Executed: 1\r\n");
        const std::string misdirectedWithoutId = answer(421, "");
        for (const std::string &repeated : {refusal, refusalWithoutId, misdirectedWithoutId}) {
            for (const bool isAnswered : {true, false}) {
                Fixture fixture([&](std::size_t, std::size_t request) {
                    const std::string own = isAnswered ? answer(200, "Request-Id: r2\r\n", "done") : std::string();
                    return ScriptedUpstream::Reply {request == 0 ? refusal : repeated + own};
                });
                fixture.run("r1");
                CPPUNIT_ASSERT(fixture.answered().wasRefused);
                fixture.start("r2");
                if (isAnswered) {
                    CPPUNIT_ASSERT_MESSAGE(repeated, runUntil([&] { return fixture.ends == 2; }));
                    CPPUNIT_ASSERT_MESSAGE(repeated, fixture.answered().status == 200 && !fixture.answered().wasRefused);
                } else {
                    const TimePoint end = fixture.clock.now() + std::chrono::milliseconds(200);
                    runUntil([&] { return fixture.clock.now() > end; });
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(repeated, std::uint64_t(1), fixture.ends);
                    fixture.client.abort(2);
                    CPPUNIT_ASSERT(std::get<UpstreamRequestFailed>(*fixture.last).mayHaveRun);
                }
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.upstream.connections());
                // What follows on that connection cannot be told apart.
                CPPUNIT_ASSERT_MESSAGE(repeated, runUntil([&] { return fixture.upstream.openConnections() == 0; }));
            }
        }
        // On a new connection there is no earlier request to which it could belong.
        Fixture fixture([&](std::size_t, std::size_t) { return ScriptedUpstream::Reply {refusalWithoutId}; });
        fixture.run("r1");
        CPPUNIT_ASSERT(fixture.answered().wasRefused);
    }

    // Guards against the same where the request is sent again under its own id, which the earlier refusal bears as well.
    void testRefusedRequestTakesAnotherConnection()
    {
        Fixture fixture([&](std::size_t connection, std::size_t request) {
            const std::string refusal = answer(503, "Request-Id: r1\r\nNot-Executed: 1\r\n");
            const std::string own = answer(200, "Request-Id: r1\r\n", "done");
            return ScriptedUpstream::Reply {connection == 0 ? (request == 0 ? refusal : refusal + own) : own};
        });
        fixture.run("r1");
        CPPUNIT_ASSERT(fixture.answered().wasRefused);
        fixture.run("r1");
        CPPUNIT_ASSERT(fixture.answered().status == 200 && !fixture.answered().wasRefused);
    }

    // Guards against the same with upstreams whose answers bear no ids: nothing follows a refusal on its connection.
    void testRefusalsWithoutIdsEndTheConnection()
    {
        Fixture fixture(
            [&](std::size_t connection, std::size_t request) {
                const std::string refusal = answer(503, "fuchsiastep-refused: 1\r\n");
                const std::string own = answer(200, "", "done");
                return ScriptedUpstream::Reply {connection == 0 ? (request == 0 ? refusal : refusal + own) : own};
            },
            EdgeKind::Native);
        fixture.run("");
        CPPUNIT_ASSERT(fixture.answered().wasRefused);
        fixture.run("");
        CPPUNIT_ASSERT(fixture.answered().status == 200 && !fixture.answered().wasRefused);
        fixture.run("");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.upstream.connections());
    }

    // Guards against bytes that are no answer and never end: they must not fill the memory, or take the processor until the
    // deadline of the request.
    void testAnswersWithoutEnd()
    {
        const std::string own = "HTTP/1.1 200 X\r\nRequest-Id: r1\r\n";
        const std::string chunked = own + "Transfer-Encoding: chunked\r\n\r\n";
        struct Case
        {
            std::string name;
            ScriptedUpstream::Reply reply;
        };
        const std::vector<Case> cases {
            {"no HTTP", {"", "x"}},
            {"start line", {"HTTP/1.1 200 ", "x"}},
            {"head", {own, "Field: value\r\n"}},
            {"field", {own + "Field: ", "x"}},
            {"body until the end of the connection", {own + "\r\n", "x"}},
            {"body with a length", {own + "Content-Length: 99999999999\r\n\r\n", "x"}},
            {"chunks", {chunked, "4\r\nbody\r\n"}},
            {"size of a chunk", {chunked, "0"}},
            {"extension of a chunk", {chunked + "4;x=", "x"}},
            {"trailer", {chunked + "0\r\n", "Field: value\r\n"}},
            {"interim answers", {"", "HTTP/1.1 102 X\r\n\r\n"}},
            {"answers of another request", {"", answer(200, "Request-Id: r0\r\n", "other")}},
            {"bytes behind the answer", {answer(200, "Request-Id: r1\r\n", "done"), "x"}},
        };
        for (const Case &item : cases) {
            Fixture fixture([&](std::size_t, std::size_t) { return item.reply; });
            fixture.start("r1");
            CPPUNIT_ASSERT_MESSAGE(item.name, runUntil([&] { return fixture.ends == 1; }));
            const auto *failed = std::get_if<UpstreamRequestFailed>(&fixture.last.value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.name == "bytes behind the answer", failed == nullptr);
            CPPUNIT_ASSERT_MESSAGE(item.name, failed == nullptr || failed->mayHaveRun);
            const bool isMalformed = item.name == "no HTTP";
            const ErrorCode code = isMalformed ? ErrorCode::AnswerTruncated : ErrorCode::AnswerTooLarge;
            CPPUNIT_ASSERT_MESSAGE(
                item.name + ": " + (failed != nullptr ? describe(failed->error) : ""), failed == nullptr || failed->error.code == code);
            CPPUNIT_ASSERT_MESSAGE(item.name, runUntil([&] { return fixture.upstream.openConnections() == 0; }));
            // The kernel holds some megabytes more.
            CPPUNIT_ASSERT_MESSAGE(item.name, fixture.upstream.bytesWritten() < 6 * MaximumAnswerBytes);
        }
    }

    // Guards against memory that grows with the number of endless answers, each of which keeps to the limit of one answer; and
    // against the end of a smaller answer of the same upstream in their place.
    void testAnswersWithoutEndShareOneLimit()
    {
        const std::string own = "HTTP/1.1 200 X\r\n";
        const std::string chunked = own + "Transfer-Encoding: chunked\r\n\r\n";
        const std::string length = std::to_string(MaximumAnswerBytes);
        const std::vector<ScriptedUpstream::Reply> replies {
            {"", "x"},
            {own, "Field: value\r\n"},
            {own + "\r\n", "x"},
            {own + "Content-Length: " + length + "\r\nRequest-Id: other\r\n\r\n", "x"},
            {chunked, "4\r\nbody\r\n"},
            {chunked, "fff;x=y\r\n" + std::string(4095, 'b') + "\r\n"},
        };
        // An answer that is never whole, of which a few bytes are there.
        const ScriptedUpstream::Reply unfinished {own + "Content-Length: 1000\r\n\r\nbody"};
        for (const ScriptedUpstream::Reply &reply : replies) {
            for (const std::uint64_t count : {1U, 4U, 16U}) {
                const std::string where = std::to_string(count) + " times " + reply.bytes + reply.endless.substr(0, 20);
                Fixture fixture([&](std::size_t connection, std::size_t) { return connection == 0 ? unfinished : reply; });
                for (std::uint64_t request = 0; request <= count; ++request) {
                    fixture.start("r" + std::to_string(request));
                }
                std::uint64_t mostHeld = 0;
                CPPUNIT_ASSERT_MESSAGE(where, runUntil([&] {
                    mostHeld = std::max(mostHeld, fixture.client.bytesHeld());
                    return fixture.ends == count;
                }));
                CPPUNIT_ASSERT_MESSAGE(where, !fixture.endOf.contains(1));
                for (const auto &[localId, event] : fixture.endOf) {
                    CPPUNIT_ASSERT_MESSAGE(where, std::holds_alternative<UpstreamRequestFailed>(event));
                    CPPUNIT_ASSERT_MESSAGE(where, std::get<UpstreamRequestFailed>(event).mayHaveRun);
                }
                CPPUNIT_ASSERT_MESSAGE(where + " held " + std::to_string(mostHeld), mostHeld <= MaximumReadBytes);
            }
        }
    }

    // Guards against answers that are read on while those before them cannot leave the instance.
    void testUpstreamIsNotReadWhileAnswersCannotLeave()
    {
        Fixture fixture([&](std::size_t, std::size_t) { return ScriptedUpstream::Reply {answer(200, "Request-Id: r1\r\n", "done")}; });
        fixture.client.setReading(false);
        fixture.start("r1");
        const TimePoint end = fixture.clock.now() + std::chrono::milliseconds(200);
        runUntil([&] { return fixture.clock.now() > end; });
        CPPUNIT_ASSERT(fixture.ends == 0 && fixture.client.bytesHeld() == 0);
        fixture.client.setReading(true);
        CPPUNIT_ASSERT(runUntil([&] { return fixture.ends == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), fixture.answered().body);
    }

    // Guards against a whole answer with an empty or short body where the upstream ends the connection inside the head, or
    // inside a body whose length it has told: after every byte of each kind of framing, on both protocols.
    void testAnswersThatEndEarly()
    {
        const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n";
        struct Case
        {
            std::string name;
            std::string whole;
            /// The shortest prefix that is a whole answer.
            std::size_t wholeBytes;
            std::string body;
        };
        const auto untilTheEnd = [](std::string name, const std::string &text, std::string body) {
            return Case {std::move(name), text, text.size(), std::move(body)};
        };
        const std::string unframed = start + "\r\n";
        const std::vector<Case> cases {
            untilTheEnd("length", start + "Content-Length: 12\r\n\r\ntwelve bytes", "twelve bytes"),
            untilTheEnd("empty body", start + "Content-Length: 0\r\n\r\n", ""),
            untilTheEnd("chunks", start + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body"),
            untilTheEnd("behind an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + start + "Content-Length: 4\r\n\r\nbody", "body"),
            untilTheEnd("failure", "HTTP/1.1 500 X\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\nbody", "body"),
            // Its body has every length up to the end of the connection.
            {"no length", unframed + "body", unframed.size(), "body"},
        };
        for (const EdgeKind kind : {EdgeKind::Platform, EdgeKind::Native}) {
            for (const Case &item : cases) {
                for (std::size_t bytes = 0; bytes <= item.whole.size(); ++bytes) {
                    const std::string sent = item.whole.substr(0, bytes);
                    Fixture fixture([&](std::size_t, std::size_t) { return ScriptedUpstream::Reply {sent, {}, true}; }, kind);
                    fixture.run("r1");
                    const auto *failed = std::get_if<UpstreamRequestFailed>(&fixture.last.value());
                    const std::string where = item.name + ", " + std::to_string(bytes) + " bytes of: " + item.whole;
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(where, bytes < item.wholeBytes, failed != nullptr);
                    CPPUNIT_ASSERT_MESSAGE(where, failed == nullptr || failed->mayHaveRun);
                    if (failed == nullptr) {
                        const std::size_t missing = item.whole.size() - bytes;
                        CPPUNIT_ASSERT_EQUAL_MESSAGE(where, item.body.substr(0, item.body.size() - missing), fixture.answered().body);
                    }
                }
            }
        }
    }

    // Guards against an answer with a status that HTTP does not have, such as 000 of an upstream in trouble, which the caller
    // gets as the answer to its request. On both protocols, with and without an end of the connection.
    void testStatusesThatAreNone()
    {
        struct Case
        {
            std::string status;
            bool isAnswer;
        };
        const std::vector<Case> cases {
            {"200", true},
            {"404", true},
            {"500", true},
            {"599", true},
            {"000", false},
            {"0", false},
            {"099", false},
            {"99", false},
            {"100", false},
            {"199", false},
            {"600", false},
            {"999", false},
            {"2000", false},
            {"abc", false},
            {"20x", false},
            {"-20", false},
            {"+200", false},
            {"", false},
        };
        for (const EdgeKind kind : {EdgeKind::Platform, EdgeKind::Native}) {
            for (const bool isLast : {true, false}) {
                for (const Case &item : cases) {
                    const std::string bytes = "HTTP/1.1 " + item.status + " X\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\nbody";
                    Fixture fixture([&](std::size_t, std::size_t) { return ScriptedUpstream::Reply {bytes, {}, isLast}; }, kind);
                    fixture.start("r1");
                    const TimePoint end = fixture.clock.now() + std::chrono::milliseconds(300);
                    runUntil([&] { return fixture.ends == 1 || fixture.clock.now() > end; });
                    if (fixture.ends == 0) {
                        // An interim answer without a final one: the deadline ends the request.
                        fixture.client.abort(1);
                    }
                    const auto *failed = std::get_if<UpstreamRequestFailed>(&fixture.last.value());
                    CPPUNIT_ASSERT_EQUAL_MESSAGE("status " + item.status, item.isAnswer, failed == nullptr);
                    CPPUNIT_ASSERT_MESSAGE("status " + item.status, failed == nullptr || failed->mayHaveRun);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUpstreamAnswers);

} // namespace Fuchsiastep

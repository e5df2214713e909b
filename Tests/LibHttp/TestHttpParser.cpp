#include <LibHttp/LibHttp.h>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace Fuchsiastep {

class TestHttpParser : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestHttpParser);
    CPPUNIT_TEST(testRequests);
    CPPUNIT_TEST(testResponses);
    CPPUNIT_TEST(testMessagesAreCutAtEveryByte);
    CPPUNIT_TEST(testSizesBeyondTheLimits);
    CPPUNIT_TEST(testFieldsThatTheLibraryDoesNotStore);
    CPPUNIT_TEST(testInterimResponsesAreBounded);
    CPPUNIT_TEST(testConnectionFieldsAreNotPassedOn);
    CPPUNIT_TEST(testSerializedMessagesAreReadBack);
    CPPUNIT_TEST(testContinueIsWantedOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr HttpLimits Limits {512, 1000};

    struct Reading
    {
        std::vector<HttpMessage> messages;
        std::optional<ErrorCode> error;
        bool isPartial = false;
    };

    /// Feeds \a bytes in pieces of \a step bytes and reads what there is.
    static Reading read(HttpParser::Kind kind, const std::string &bytes, std::size_t step, bool hasEnd, const HttpLimits &limits = Limits)
    {
        HttpParser parser(kind, limits);
        Reading reading;
        for (std::size_t begin = 0; begin < bytes.size() && !reading.error; begin += step) {
            parser.append(std::string_view(bytes).substr(begin, step));
            collect(reading, [&] { return parser.tryNext(); });
        }
        reading.isPartial = !parser.isBetweenMessages();
        if (hasEnd && !reading.error) {
            collect(reading, [&] { return parser.tryEnd(); });
        }
        return reading;
    }

    template<typename Next>
    static void collect(Reading &reading, Next next)
    {
        while (true) {
            Result<std::optional<HttpMessage>> result = next();
            if (isError(result)) {
                reading.error = errorOf(result).code;
                return;
            }
            if (!valueOf(result)) {
                return;
            }
            reading.messages.push_back(*valueOf(std::move(result)));
        }
    }

    // Guards against smuggled requests, rewritten targets, and heads or bodies beyond the limits.
    void testRequests()
    {
        struct Case
        {
            std::string name;
            std::string bytes;
            std::vector<std::string> targets;
            std::optional<ErrorCode> error;
        };
        const std::string head = "GET /a HTTP/1.1\r\nHost: h\r\n";
        const std::string post = "POST /a HTTP/1.1\r\nHost: h\r\n";
        const std::vector<Case> cases {
            {"escaped path and query", "GET /a%2Fb//c/../d?x=%41 HTTP/1.1\r\nHost: h\r\n\r\n", {"/a%2Fb//c/../d?x=%41"}, {}},
            {"unreserved escapes", "GET /%7Euser/ HTTP/1.1\r\nHost: h\r\n\r\n", {"/%7Euser/"}, {}},
            {"dot segments", "GET /a/./b/ HTTP/1.1\r\nHost: h\r\n\r\n", {"/a/./b/"}, {}},
            {"two pipelined requests", head + "\r\n" + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n", {"/a", "/b"}, {}},
            {"counted body", post + "Content-Length: 3\r\n\r\nabc", {"/a"}, {}},
            {"chunked body", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", {"/a"}, {}},
            {"length and chunks",
                post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                {},
                ErrorCode::RequestMalformed},
            {"two lengths", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", {}, ErrorCode::RequestMalformed},
            {"space before the colon", post + "Content-Length : 3\r\n\r\nabc", {}, ErrorCode::RequestMalformed},
            {"negative length", post + "Content-Length: -3\r\n\r\nabc", {}, ErrorCode::RequestMalformed},
            {"long head", head + "X: " + std::string(600, 'x') + "\r\n\r\n", {}, ErrorCode::HeadTooLarge},
            {"long body", post + "Content-Length: 1001\r\n\r\n", {}, ErrorCode::BodyTooLarge},
            {"no HTTP", "hello\r\n\r\n", {}, ErrorCode::RequestMalformed},
        };
        for (const Case &item : cases) {
            const Reading reading = read(HttpParser::Kind::Request, item.bytes, item.bytes.size(), false);
            CPPUNIT_ASSERT_MESSAGE(item.name, reading.error == item.error);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.targets.size(), reading.messages.size());
            for (std::size_t i = 0; i < item.targets.size(); ++i) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.targets[i], reading.messages[i].target);
            }
        }
    }

    // Guards against an answer that was cut off and passes for whole, and against bytes behind an answer that are lost.
    void testResponses()
    {
        struct Case
        {
            std::string name;
            std::string bytes;
            bool hasEnd;
            std::vector<std::string> bodies;
            bool isError;
            bool isPartial;
        };
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::vector<Case> cases {
            {"counted", ok + "Content-Length: 3\r\n\r\nabc", false, {"abc"}, false, false},
            {"counted, cut", ok + "Content-Length: 3\r\n\r\nab", true, {}, true, true},
            {"chunked", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false, {"abc"}, false, false},
            {"chunked, cut after a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true, {}, true, true},
            {"until the end", ok + "\r\nabc", true, {"abc"}, false, true},
            {"until the end, not ended", ok + "\r\nabc", false, {}, false, true},
            {"interim first", "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na", false, {"a"}, false, false},
            {"no content", "HTTP/1.1 204 No Content\r\n\r\n", false, {""}, false, false},
            {"two answers", ok + "Content-Length: 1\r\n\r\na" + ok + "Content-Length: 1\r\n\r\nb", false, {"a", "b"}, false, false},
            {"bytes behind", ok + "Content-Length: 1\r\n\r\naHTT", false, {"a"}, false, true},
            {"no answer", "garbage\r\n\r\n", false, {}, true, true},
            {"cut head", "HTTP/1.1 200 OK\r\nContent-Le", true, {}, true, true},
        };
        for (const Case &item : cases) {
            const Reading reading = read(HttpParser::Kind::Response, item.bytes, item.bytes.size(), item.hasEnd);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.isError, reading.error.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.bodies.size(), reading.messages.size());
            for (std::size_t i = 0; i < item.bodies.size(); ++i) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.bodies[i], reading.messages[i].body);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.isPartial, reading.isPartial);
        }
    }

    // Guards against memory that is reserved for a length in a head or in a chunk before it is compared with the limit, which
    // ended the process (std::bad_alloc): the first bytes of the body may come in the same read as the head, or later.
    void testSizesBeyondTheLimits()
    {
        const std::string response = "HTTP/1.1 200 OK\r\n";
        const std::string request = "POST / HTTP/1.1\r\nHost: h\r\n";
        const std::string body(200, 'x');
        const std::vector<std::string> lengths {
            "1001", "4294967296", "4000000000000000", "9223372036854775807", "18446744073709551615", "18446744073709551616", "4e15"};
        const std::vector<std::string> chunkSizes {"3e9", "100000000", "7fffffffffffffff", "ffffffffffffffff", "10000000000000000"};
        std::vector<std::string> framings;
        framings.reserve(lengths.size() + 2 * chunkSizes.size());
        const auto add = [&](std::string_view head, std::string_view size) {
            framings.emplace_back(head).append(size).append("\r\n").append(body);
        };
        for (const std::string &length : lengths) {
            add("Content-Length: ", length + "\r\n");
        }
        for (const std::string &size : chunkSizes) {
            add("Transfer-Encoding: chunked\r\n\r\n", size);
            add("Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", size);
        }
        for (const std::string &framing : framings) {
            for (std::size_t step = 1; step <= request.size() + framing.size(); ++step) {
                const std::string where = "step " + std::to_string(step) + " of " + framing;
                const Reading answer = read(HttpParser::Kind::Response, response + framing, step, false);
                CPPUNIT_ASSERT_MESSAGE(where, answer.error && answer.messages.empty());
                const Reading call = read(HttpParser::Kind::Request, request + framing, step, false);
                CPPUNIT_ASSERT_MESSAGE(where, call.error && call.messages.empty());
            }
        }
    }

    // Guards against an exception of the library, which ended the process: it stores no field of 64 KiB or more, whatever the
    // limit of a deployment is.
    void testFieldsThatTheLibraryDoesNotStore()
    {
        constexpr HttpLimits WideLimits {512 * 1024, 1000};
        const std::string longText(70'000, 'x');
        const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
        const std::vector<std::string> fields {
            "X: " + longText + "\r\n\r\n",
            longText + ": x\r\n\r\n",
            chunked + "X: " + longText + "\r\n\r\n",
            chunked + longText + ": x\r\n\r\n",
        };
        for (const std::string &field : fields) {
            const std::string where = field.substr(0, 100);
            const std::string request = "POST / HTTP/1.1\r\nHost: h\r\n" + field;
            const Reading call = read(HttpParser::Kind::Request, request, request.size(), false, WideLimits);
            CPPUNIT_ASSERT_MESSAGE(where, call.error == ErrorCode::HeadTooLarge && call.messages.empty());
            const std::string response = "HTTP/1.1 200 OK\r\n" + field;
            const Reading answer = read(HttpParser::Kind::Response, response, response.size(), false, WideLimits);
            CPPUNIT_ASSERT_MESSAGE(where, answer.error && answer.messages.empty());
        }
    }

    // Guards against interim responses without end, each of which keeps to the limit on heads.
    void testInterimResponsesAreBounded()
    {
        const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
        const std::string last = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
        const auto withInterim = [&](std::size_t count) {
            std::string bytes;
            for (std::size_t number = 0; number < count; ++number) {
                bytes += interim;
            }
            return bytes + last;
        };
        const std::size_t most = Limits.headBytes / interim.size();
        const std::string bytes = withInterim(most) + withInterim(most);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read(HttpParser::Kind::Response, bytes, bytes.size(), false).messages.size());
        for (const std::size_t step : {std::size_t(1), std::size_t(7), withInterim(most + 1).size()}) {
            const Reading reading = read(HttpParser::Kind::Response, withInterim(most + 1), step, false);
            CPPUNIT_ASSERT(reading.error == ErrorCode::AnswerTooLarge && reading.messages.empty());
        }
    }

    // Guards against a reading that depends on how the network cuts the bytes.
    void testMessagesAreCutAtEveryByte()
    {
        const std::string bytes = "POST /a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                                  "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
        for (std::size_t step = 1; step <= bytes.size(); ++step) {
            const Reading reading = read(HttpParser::Kind::Request, bytes, step, false);
            const std::string message = "step " + std::to_string(step);
            CPPUNIT_ASSERT_MESSAGE(message, !reading.error);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t(2), reading.messages.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string("abcde"), reading.messages[0].body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string("/next"), reading.messages[1].target);
        }
    }

    // Guards against fields of one connection that reach the next one, also those that the sender names itself.
    void testConnectionFieldsAreNotPassedOn()
    {
        const std::string bytes =
            "GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nX-End: 2\r\nx-end: 3\r\n\r\n";
        const Reading reading = read(HttpParser::Kind::Request, bytes, bytes.size(), false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reading.messages.size());
        CPPUNIT_ASSERT(reading.messages[0].isLast);
        CPPUNIT_ASSERT(reading.messages[0].headers == (HeaderList {{"host", "h"}, {"x-end", "2, 3"}}));
    }

    // Guards against a serializer and a parser that disagree, and against a lost Keep-Alive time.
    void testSerializedMessagesAreReadBack()
    {
        HttpMessage response;
        response.status = 200;
        response.headers = {{"set-cookie", std::string("a=1, x") + SetCookieSeparator + "b=2"}, {"x", "y"}};
        response.body = std::string(900, 'b');
        const Reading reading = read(HttpParser::Kind::Response, serializeResponse(response, false), 7, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reading.messages.size());
        CPPUNIT_ASSERT(reading.messages[0].headers == response.headers);
        CPPUNIT_ASSERT_EQUAL(response.body, reading.messages[0].body);
        const std::string kept = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7, max=3\r\nContent-Length: 0\r\n\r\n";
        CPPUNIT_ASSERT(read(HttpParser::Kind::Response, kept, kept.size(), false).messages.at(0).keepAlive == std::chrono::seconds(7));
    }

    // Guards against a client that waits for "100 Continue" until its timeout.
    void testContinueIsWantedOnce()
    {
        HttpParser parser(HttpParser::Kind::Request, Limits);
        parser.append("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
        CPPUNIT_ASSERT(!isError(parser.tryNext()));
        CPPUNIT_ASSERT(parser.takeContinueWish());
        CPPUNIT_ASSERT(!parser.takeContinueWish());
        parser.append("x");
        const Result<std::optional<HttpMessage>> message = parser.tryNext();
        CPPUNIT_ASSERT(!isError(message) && valueOf(message));
        CPPUNIT_ASSERT(!valueOf(message)->headers.contains("expect"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestHttpParser);

} // namespace Fuchsiastep

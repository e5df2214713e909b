#include <LibPlatform/LibPlatform.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep {

class TestPlatformCodec : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlatformCodec);
    CPPUNIT_TEST(testRequestRoundTrips);
    CPPUNIT_TEST(testResponseRoundTrips);
    CPPUNIT_TEST(testMalformedRequests);
    CPPUNIT_TEST(testMalformedResponses);
    CPPUNIT_TEST(testTruncatedBodies);
    CPPUNIT_TEST(testFaultSettings);
    CPPUNIT_TEST_SUITE_END();

    inline static const std::string Binary = std::string("\0\xff\"/%\n\xc3", 7);

    static std::vector<PlatformRequest> requests()
    {
        return {
            ReadRows {},
            ReadRows {{"head", Binary}},
            ScanRows {Binary, "after", UINT32_MAX},
            Transaction {},
            Transaction {{{"head", UINT64_MAX}, {Binary, 0}}, {{"a", Binary}, {"b", std::nullopt}, {"c", ""}}},
            GetObject {"snapshot/7 %2F?#"},
            GetObject {".."},
            PutObject {"\xff\"", Binary},
            PutObject {"snapshot/7", ""},
        };
    }

    // Guards against values that are not binary-safe and against names that change on their way through a URL.
    void testRequestRoundTrips()
    {
        for (const PlatformRequest &request : requests()) {
            const PlatformHttpRequest http = encodePlatformRequest(request);
            const Result<PlatformRequest> decoded = tryDecodePlatformRequest(http);
            CPPUNIT_ASSERT_MESSAGE(http.path, !isError(decoded));
            const PlatformHttpRequest again = encodePlatformRequest(valueOf(decoded));
            CPPUNIT_ASSERT_EQUAL(http.method, again.method);
            CPPUNIT_ASSERT_EQUAL(http.path, again.path);
            CPPUNIT_ASSERT_EQUAL(http.body, again.body);
        }
        const auto transaction = std::get<Transaction>(valueOf(tryDecodePlatformRequest(encodePlatformRequest(requests()[4]))));
        CPPUNIT_ASSERT(transaction.conditions[0].expectedRevision == UINT64_MAX && transaction.conditions[1].key == Binary);
        CPPUNIT_ASSERT(transaction.writes[0].value == Binary && !transaction.writes[1].value && transaction.writes[2].value == "");
        CPPUNIT_ASSERT_EQUAL(
            std::string(".."), std::get<GetObject>(valueOf(tryDecodePlatformRequest(encodePlatformRequest(requests()[6])))).name);
    }

    void testResponseRoundTrips()
    {
        struct Case
        {
            PlatformRequest request;
            PlatformResponse response;
        };
        const std::vector<Case> cases {
            {ReadRows {{"a", Binary}}, Rows {{{"a", 0, ""}, {Binary, UINT64_MAX, Binary}}}},
            {ScanRows {}, Rows {}},
            {ScanRows {}, Rows {{{"a", 1, ""}}}},
            {Transaction {}, Committed {7}},
            {Transaction {}, Conflict {{{"a", 3, Binary}}}},
            {PutObject {"a", ""}, Committed {8}},
            {GetObject {"a"}, ObjectContent {Binary}},
            {GetObject {"a"}, ObjectContent {}},
            {GetObject {"a"}, ObjectMissing {}},
            {Transaction {}, PlatformFailure {{ErrorCode::PlatformUnavailable, "HTTP status 503"}}},
            {Transaction {}, PlatformFailure {{ErrorCode::PlatformMalformedRequest, "too long"}}},
        };
        for (std::size_t i = 0; i < cases.size(); ++i) {
            const PlatformHttpAnswer http = encodePlatformResponse(cases[i].response);
            const Result<PlatformResponse> decoded = tryDecodePlatformResponse(cases[i].request, http.status, http.body);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), !isError(decoded));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(i), cases[i].response.index(), valueOf(decoded).index());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(i), http.body, encodePlatformResponse(valueOf(decoded)).body);
        }
    }

    void testMalformedRequests()
    {
        const std::string empty = "\x90";
        const std::vector<PlatformHttpRequest> cases {
            {"POST", "/v1/table/read", ""},
            {"POST", "/v1/table/read", "\xc0"},
            {"POST", "/v1/table/read", "\x91\x01"},
            {"POST", "/v1/table/read", empty + empty},
            {"POST", "/v1/table/read", "\xdd\xff\xff\xff\xff"},
            {"POST", "/v1/table/read", std::string(1000, '\x91')},
            {"POST", "/v1/table/scan", empty},
            {"POST",
                "/v1/table/scan",
                "\x93\xa1"
                "a\xa1"
                "b\xff"},
            {"POST", "/v1/table/transaction", empty},
            {"POST",
                "/v1/table/transaction",
                "\x92\x91\x91\xa1"
                "a\x90"},
            {"POST",
                "/v1/table/transaction",
                "\x92\x90\x91\x92\xa1"
                "a\x01"},
            {"GET", "/v1/table/read", empty},
            {"POST", "/v1/table/other", empty},
            {"POST", "/v1/objects/a", empty},
            {"DELETE", "/v1/objects/a", ""},
            {"GET", "/v1/objects/", ""},
            {"GET", "/v1/objects/a/b", ""},
            {"GET", "/v1/objects/%zz", ""},
            {"GET", "/", ""},
        };
        for (std::size_t i = 0; i < cases.size(); ++i) {
            const Result<PlatformRequest> decoded = tryDecodePlatformRequest(cases[i]);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), isError(decoded));
            CPPUNIT_ASSERT(errorOf(decoded).code == ErrorCode::PlatformMalformedRequest);
        }
    }

    // Guards against an answer to another request, or from another server, that passes as an answer to this one.
    void testMalformedResponses()
    {
        struct Case
        {
            PlatformRequest request;
            unsigned status;
            std::string body;
        };
        const std::string oneRow = encodePlatformResponse(Rows {{{"a", 1, "x"}}}).body;
        const std::string committed = encodePlatformResponse(Committed {1}).body;
        const std::vector<Case> cases {
            {ReadRows {{"a"}}, 200, ""},
            {ReadRows {{"a"}}, 200, committed},
            {ReadRows {{"b"}}, 200, oneRow},
            {ReadRows {{"a", "b"}}, 200, oneRow},
            {ReadRows {}, 200, oneRow},
            {ReadRows {{"a"}}, 409, oneRow},
            {ReadRows {{"a"}}, 404, "not found"},
            {ScanRows {}, 200, "<html>"},
            {Transaction {}, 200, oneRow},
            {Transaction {}, 204, ""},
            {Transaction {}, 409, "\x90"},
            {Transaction {}, 409, committed},
            {Transaction {}, 500, committed},
            {Transaction {}, 400, "bad"},
            {Transaction {}, 400, encodePlatformResponse(ObjectMissing {}).body},
            {Transaction {}, 404, encodePlatformResponse(ObjectMissing {}).body},
            {GetObject {"a"}, 404, "not found"},
            {GetObject {"a"}, 302, ""},
            {PutObject {"a", ""}, 200, "x"},
        };
        for (std::size_t i = 0; i < cases.size(); ++i) {
            const Result<PlatformResponse> decoded = tryDecodePlatformResponse(cases[i].request, cases[i].status, cases[i].body);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), isError(decoded));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), errorOf(decoded).code == ErrorCode::PlatformMalformedAnswer);
        }
    }

    // Guards against a body that was cut anywhere and is still read as complete.
    void testTruncatedBodies()
    {
        const PlatformHttpRequest request = encodePlatformRequest(requests()[4]);
        for (std::size_t size = 0; size < request.body.size(); ++size) {
            CPPUNIT_ASSERT(isError(tryDecodePlatformRequest({request.method, request.path, request.body.substr(0, size)})));
        }
        const std::string rows = encodePlatformResponse(Rows {{{"a", 1, "x"}, {"b", 2, Binary}}}).body;
        for (std::size_t size = 0; size < rows.size(); ++size) {
            CPPUNIT_ASSERT(isError(tryDecodePlatformResponse(ScanRows {}, 200, rows.substr(0, size))));
        }
    }

    void testFaultSettings()
    {
        PlatformFaultSettings settings;
        settings.isDown = true;
        settings.delay = std::chrono::milliseconds(5);
        settings.answerDelay = std::chrono::milliseconds(6);
        settings.lostAnswerProbability = 0.25;
        settings.lostRequestProbability = 0.5;
        settings.staleReadProbability = 1;
        settings.staleRevisions = 3;
        settings.staleAge = std::chrono::milliseconds(7);
        const Result<PlatformFaultSettings> read = PlatformFaultSettings::tryParse(settings.toJson().toText());
        CPPUNIT_ASSERT(!isError(read) && valueOf(read) == settings);
        for (const char *text : {"", "[]", "{\"dwon\":true}", "{\"delay_ms\":-1}", "{\"lost_answer_probability\":1.5}"}) {
            CPPUNIT_ASSERT_MESSAGE(text, isError(PlatformFaultSettings::tryParse(text)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlatformCodec);

} // namespace Fuchsiastep

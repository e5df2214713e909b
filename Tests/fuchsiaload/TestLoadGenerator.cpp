#include <LibCore/JsonObjectReader.h>
#include <fuchsiaload/AnswerChecker.h>
#include <fuchsiaload/LoadSummary.h>
#include <fuchsiaload/RequestPlanner.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace Fuchsiastep {

class TestLoadGenerator : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLoadGenerator);
    CPPUNIT_TEST(testMixes);
    CPPUNIT_TEST(testPlans);
    CPPUNIT_TEST(testChecks);
    CPPUNIT_TEST(testRepeatedOrders);
    CPPUNIT_TEST(testPercentiles);
    CPPUNIT_TEST_SUITE_END();

    void testMixes()
    {
        for (const char *text : {"lookup", "lookup=70,order=20,repeat-order=5,document=5", "lookup=0,order"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !isError(RequestMix::tryParse(text)));
        }
        for (const char *text : {"", "lookup=0", "lookup=", "lookup=-1", "lookup=1x", "other=1", "lookup=9999999"}) {
            CPPUNIT_ASSERT_MESSAGE(text, isError(RequestMix::tryParse(text)));
        }
        Random random(1);
        const RequestMix mix = valueOf(RequestMix::tryParse("lookup=0,order=1,document=3"));
        std::array<int, RequestKindCount> counts {};
        for (int i = 0; i < 4000; ++i) {
            ++counts.at(static_cast<std::size_t>(mix.draw(random)));
        }
        CPPUNIT_ASSERT(counts[0] == 0 && counts[2] == 0);
        CPPUNIT_ASSERT(counts[3] > 2 * counts[1] && counts[3] < 4 * counts[1]);
    }

    // Guards against keys or paths that two requests share, which would hide a wrong answer or a second run.
    void testPlans()
    {
        LoadSettings settings;
        settings.targets = {"http://a", "http://b"};
        settings.mix = valueOf(RequestMix::tryParse("lookup,order,repeat-order,document"));
        RequestPlanner planner(settings, "r");
        std::set<std::string> paths;
        for (int i = 0; i < 1000; ++i) {
            const std::vector<PlannedRequest> requests = planner.next();
            CPPUNIT_ASSERT(paths.insert(requests[0].path).second);
            const bool isRepeat = requests[0].kind == RequestKind::RepeatOrder;
            CPPUNIT_ASSERT_EQUAL(std::size_t(isRepeat ? 2 : 1), requests.size());
            CPPUNIT_ASSERT_EQUAL(requests[0].method == "POST", !requests[0].key.empty());
            if (isRepeat) {
                CPPUNIT_ASSERT(requests[0].key == requests[1].key && requests[0].target != requests[1].target);
            }
        }
    }

    static RequestResult answered(RequestKind kind, const std::string &body)
    {
        RequestResult result;
        result.request = {kind, 0, kind == RequestKind::Lookup ? "GET" : "POST", 0, "/x/1", "k", {}, 0};
        if (kind == RequestKind::Document) {
            result.request.documentBytes = 12;
        }
        result.outcome = RequestOutcome::Answered;
        result.status = 200;
        result.body = body;
        return result;
    }

    // Guards against a check that passes an answer to another request.
    void testChecks()
    {
        struct Case
        {
            RequestKind kind;
            std::string body;
            bool isRight;
        };
        const std::vector<Case> cases {
            {RequestKind::Order, R"({"path":"/x/1","method":"POST","key":"k","upstream":"u","run":1})", true},
            {RequestKind::Order, R"({"path":"/x/2","method":"POST","key":"k","upstream":"u","run":1})", false},
            {RequestKind::Order, R"({"path":"/x/1","method":"GET","key":"k","upstream":"u","run":1})", false},
            {RequestKind::Order, R"({"path":"/x/1","method":"POST","key":"l","upstream":"u","run":1})", false},
            {RequestKind::Order, R"({"path":"/x/1","method":"POST","key":"k"})", false},
            {RequestKind::Order, R"({"path":"/x/1","method":"POST","key":"k","ups)", false},
            {RequestKind::Order, "", false},
            {RequestKind::Document, "/x/1\n/x/1\n/x", true},
            {RequestKind::Document, "/x/1\n/x/1\n/y", false},
            {RequestKind::Document, "/x/1\n/x/2\n/x", false},
            {RequestKind::Document, "/x/1\n/x/1\n/", false},
            {RequestKind::Document, "", false},
        };
        for (const Case &item : cases) {
            AnswerChecker checker(false);
            RequestResult result = answered(item.kind, item.body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.body, item.isRight, !checker.problemOf(result));
            result.outcome = RequestOutcome::NotRun;
            CPPUNIT_ASSERT_MESSAGE(item.body, !checker.problemOf(result));
        }
    }

    // Guards against a check that overlooks the second run of an order.
    void testRepeatedOrders()
    {
        const auto answer = [](const std::string &upstream, int run) {
            return answered(RequestKind::RepeatOrder,
                R"({"path":"/x/1","method":"POST","key":"k","upstream":")" + upstream + R"(","run":)" + std::to_string(run) + "}");
        };
        AnswerChecker checker(false);
        CPPUNIT_ASSERT(!checker.problemOf(answer("u", 1)));
        CPPUNIT_ASSERT(!checker.problemOf(answer("u", 1)));
        CPPUNIT_ASSERT(!checker.problemOf(answer("u", 1)));
        CPPUNIT_ASSERT(checker.problemOf(answer("u", 2)));
        CPPUNIT_ASSERT(!checker.problemOf(answer("u", 1)));
        CPPUNIT_ASSERT(checker.problemOf(answer("v", 1)));
        AnswerChecker direct(true);
        CPPUNIT_ASSERT(!direct.problemOf(answer("u", 1)) && !direct.problemOf(answer("v", 1)));
    }

    void testPercentiles()
    {
        LoadSummary summary;
        CPPUNIT_ASSERT_EQUAL(0.0, summary.answeredPercent());
        for (int i = 1000; i >= 1; --i) {
            RequestResult result = answered(RequestKind::Lookup, "");
            result.latency = Duration(i);
            summary.add(result);
        }
        RequestResult lost;
        lost.latency = Duration(1'000'000);
        summary.add(lost);
        const JsonValue json = summary.toJson();
        std::vector<Error> errors;
        JsonObjectReader reader(json, "$", errors);
        JsonObjectReader latencies(*reader.requiredValue("latency_us"), "$", errors);
        JsonObjectReader all(*latencies.requiredValue("all"), "$", errors);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(500), all.requiredInteger("p50", 0, 9999));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(990), all.requiredInteger("p99", 0, 9999));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(999), all.requiredInteger("p99.9", 0, 9999));
        CPPUNIT_ASSERT(summary.answeredPercent() > 99.8 && summary.answeredPercent() < 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLoadGenerator);

} // namespace Fuchsiastep

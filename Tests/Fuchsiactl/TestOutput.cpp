#include <fuchsiactl/AuditTable.h>
#include <fuchsiactl/Change.h>
#include <fuchsiactl/Difference.h>
#include <fuchsiactl/FleetStatus.h>
#include <fuchsiactl/LabelEdit.h>
#include <fuchsiactl/OutputFormat.h>
#include <fuchsiactl/TextTable.h>
#include <fuchsiactl/VersionWait.h>

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace Fuchsiastep::ControlTool {

class TestOutput : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOutput);
    CPPUNIT_TEST(testTableIsAlignedAndPrintable);
    CPPUNIT_TEST(testTextAndJson);
    CPPUNIT_TEST(testDifferenceAndChange);
    CPPUNIT_TEST(testLabelEdits);
    CPPUNIT_TEST(testFleetStatus);
    CPPUNIT_TEST(testVersionWait);
    CPPUNIT_TEST(testAudit);
    CPPUNIT_TEST_SUITE_END();

    static JsonValue parse(const std::string &text)
    {
        const Result<JsonValue> value = JsonValue::tryParse(text);
        CPPUNIT_ASSERT_MESSAGE(text, !isError(value));
        return valueOf(value);
    }

    static ObjectSet objects(const std::string &text)
    {
        const Result<ObjectSet> set = tryReadObjectSet(parse(text));
        CPPUNIT_ASSERT(!isError(set));
        return valueOf(set);
    }

    // Guards against columns that shift, and against escape sequences from a comment that reach the terminal.
    void testTableIsAlignedAndPrintable()
    {
        TextTable table({"A", "B"});
        table.add({"Corca\xc3\xad", "x"});
        table.add({"", "\x1b[31m\n"});
        CPPUNIT_ASSERT_EQUAL(std::string("A       B\nCorca\xc3\xad  x\n-        [31m \n"), table.toText());
    }

    // Guards against scripts that get text, and people who get JSON.
    void testTextAndJson()
    {
        for (const bool isJson : {false, true}) {
            std::ostringstream out;
            std::ostringstream errors;
            const OutputFormat format(isJson, out, errors);
            format.print("text\n", JsonValue::Object {{"a", 1}});
            format.printError({ErrorCode::ChangeConflict, "selector/x"});
            CPPUNIT_ASSERT_EQUAL(std::string(isJson ? "{\"a\":1}\n" : "text\n"), out.str());
            CPPUNIT_ASSERT_EQUAL(std::string(isJson ? "{\"error\":{\"code\":406,\"detail\":\"selector/x\",\"name\":\"ChangeConflict\"}}\n"
                                                    : "fuchsiactl: 406 ChangeConflict: selector/x\n"),
                errors.str());
        }
    }

    // Guards against a change that touches objects that did not change, or misses one that did.
    void testDifferenceAndChange()
    {
        const ObjectSet inForce =
            objects(R"({"services":[{"name":"a"},{"name":"b","labels":{"x":"1"}}],"upstreams":[{"id":"a","service":"a"}],
            "selectors":[{"name":"s","rules":{"timeout_ms":5000,"methods":["GET"]}}]})");
        const ObjectSet declared = objects(R"({"services":[{"name":"a"},{"name":"c"}],
            "selectors":[{"name":"s","rules":{"timeout_ms":3000,"methods":["GET"],"retries":1}}]})");
        const Difference difference = Difference::between(inForce, declared);
        CPPUNIT_ASSERT_EQUAL(std::string("+ service/c\n~ selector/s\n    rules.timeout_ms: 5000 -> 3000\n    rules.retries: (absent) -> 1\n"
                                         "- service/b\n- upstream/a\n"),
            difference.toText(true));
        CPPUNIT_ASSERT(!difference.isEmpty(false));
        CPPUNIT_ASSERT(Difference::between(inForce, inForce).isEmpty(true));
        const Difference onlyUndeclared = Difference::between(inForce, {});
        CPPUNIT_ASSERT(onlyUndeclared.isEmpty(false) && !onlyUndeclared.isEmpty(true));

        Options options;
        options.operation = "op-1";
        options.operatorName = "aoife";
        options.comment = "why";
        Change change = Change::from(options, 7);
        change.stored = difference.added;
        change.removed = difference.undeclared;
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"base_version":7,"comment":"why","operation":"op-1","operator":"aoife",)"
                                         R"("remove":[{"kind":"service","name":"b"},{"kind":"upstream","name":"a"}],)"
                                         R"("store":{"selectors":[],"services":[{"name":"c"}],"upstreams":[]}})"),
            change.toJson().toText());
        options.operation.clear();
        CPPUNIT_ASSERT(Change::from(options, 7).operation != Change::from(options, 7).operation);
    }

    // Guards against labels that are lost while others change.
    void testLabelEdits()
    {
        struct Case
        {
            std::vector<std::string> edits;
            std::string result;
        };
        const JsonValue object = parse(R"({"name":"a","labels":{"x":"1","y":"2"}})");
        const std::vector<Case> cases {
            {{"x=3"}, R"({"labels":{"x":"3","y":"2"},"name":"a"})"},
            {{"x-", "z=a=b"}, R"({"labels":{"y":"2","z":"a=b"},"name":"a"})"},
            {{"x="}, R"({"labels":{"x":"","y":"2"},"name":"a"})"},
            {{"x"}, ""},
            {{"=1"}, ""},
            {{"-"}, ""},
            {{"q-"}, ""},
            {{"x=1", "x-"}, ""},
        };
        for (const Case &item : cases) {
            const Result<JsonValue> edited = tryEditLabels(object, item.edits);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.edits.front(), item.result, isError(edited) ? "" : valueOf(edited).toText());
        }
    }

    static FleetStatus::Row row(const std::string &proxy, const std::string &state, std::uint64_t version, bool isAnswering = true)
    {
        FleetStatus::Row made;
        made.member = {proxy, "gatton", state, {}, version};
        if (isAnswering) {
            made.status = MemberStatus {proxy, true, false, version, version};
        }
        return made;
    }

    // Guards against a proxy that lags, or does not answer, and is not named.
    void testFleetStatus()
    {
        struct Case
        {
            std::vector<FleetStatus::Row> rows;
            bool isCurrent;
            std::string summary;
        };
        const std::vector<Case> cases {
            {{row("a", "serving", 8), row("b", "serving", 8)}, true, "newest version 8, 2 serving; none lags\n"},
            {{row("a", "serving", 8), row("b", "serving", 7)}, false, "newest version 8, 2 serving; lagging (1): b\n"},
            {{row("a", "serving", 8), row("b", "joining", 0), row("c", "left", 5, false)},
                true,
                "newest version 8, 1 serving; none lags\n"},
            {{row("a", "serving", 8), row("b", "serving", 8, false)}, false, "newest version 8, 2 serving; no answer (1): b\n"},
            {{row("a", "serving", 7), row("b", "draining", 8)}, false, "newest version 8, 1 serving; lagging (1): a\n"},
        };
        for (const Case &item : cases) {
            const FleetStatus fleet(item.rows);
            CPPUNIT_ASSERT_MESSAGE(item.summary, fleet.toText().ends_with(item.summary));
            CPPUNIT_ASSERT_EQUAL(item.isCurrent, fleet.isCurrent());
        }
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"({"current":false,"newest_version":8,"proxies":[{"answered":true,"data_centre":"gatton",)"
                        R"("lag":1,"proxy":"b","ready":true,"state":"serving","version":7},)"
                        R"({"answered":false,"data_centre":"gatton","lag":0,"proxy":"a","ready":false,"state":"serving","version":8}]})"),
            FleetStatus({row("b", "serving", 7), row("a", "serving", 8, false)}).toJson().toText());
    }

    // Guards against a wait that ends while a live proxy lacks the version.
    void testVersionWait()
    {
        const auto member = [](const std::string &proxy, const std::string &state, std::uint64_t version) {
            return Member {proxy, "gatton", state, {}, version};
        };
        VersionWait wait(8);
        CPPUNIT_ASSERT(!wait.isOver());
        wait.seeMembers({member("a", "serving", 8), member("b", "serving", 7), member("c", "failed", 1), member("d", "suspect", 9)});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, wait.pending().size());
        wait.seeStatus({"b", true, false, 7, 8});
        CPPUNIT_ASSERT(!wait.isOver());
        wait.seeStatus({"b", true, false, 8, 8});
        CPPUNIT_ASSERT(wait.isOver() && wait.liveCount() == 3);
        wait.seeMembers({member("a", "serving", 8), member("b", "serving", 7), member("e", "joining", 0)});
        CPPUNIT_ASSERT(!wait.isOver());
        CPPUNIT_ASSERT_EQUAL(std::string("e"), wait.pending().front().proxy);
        wait.seeMembers({member("a", "serving", 8)});
        wait.seeMembers({member("a", "serving", 8), member("b", "joining", 0)});
        CPPUNIT_ASSERT_MESSAGE("a proxy that returns must be asked again", !wait.isOver());
    }

    // Guards against an audit trail that hides who changed what and when.
    void testAudit()
    {
        const std::string text = formatAudit(parse(R"({"entries":[{"version":8,"operation":"o","operator":"aoife","unix_ms":1796362800000,
            "comment":"night orders","changes":[{"action":"store","kind":"selector","name":"x"},{"action":"remove","kind":"service","name":"y"}]}]})"));
        CPPUNIT_ASSERT_EQUAL(std::string("VERSION  TIME                  OPERATOR  CHANGES                             COMMENT\n"
                                         "8        2026-12-04T05:40:00Z  aoife     store selector/x, remove service/y  night orders\n"),
            text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOutput);

} // namespace Fuchsiastep::ControlTool

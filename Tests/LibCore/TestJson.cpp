#include <LibCore/LibCore.h>

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <optional>

namespace Fuchsiastep {

class TestJson : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestJson);
    CPPUNIT_TEST(testMalformedTextsAreRefused);
    CPPUNIT_TEST(testNestingIsLimited);
    CPPUNIT_TEST(testNumbersAreKeptOrRefused);
    CPPUNIT_TEST(testTextRoundTrip);
    CPPUNIT_TEST(testEveryErrorIsNamedWithItsPath);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a crash or a partial value from hostile text.
    void testMalformedTextsAreRefused()
    {
        const std::string deep(200'000, '[');
        const std::vector<std::string> texts {"",
            "{",
            "{\"a\":}",
            "[1,2",
            deep,
            // A count of brackets that leaves out strings does not see these, if a comment may open the string.
            "/*\"*/" + deep,
            "//\"\n" + deep,
            "#\"\n" + deep,
            "'\"'" + deep,
            "{\"a\":\"\\\"\",\"b\":" + deep,
            "[1] // comment",
            "[1,]",
            "{'a':1}",
            "[01]",
            "[+1]",
            "[NaN]",
            "[1e400]",
            "[\"\\u00\"]",
            "\xff\xfe",
            "[\"\xc3\"]",
            "{\"a\":1}}"};
        for (const std::string &text : texts) {
            const Result<JsonValue> value = JsonValue::tryParse(text);
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 20), isError(value));
            CPPUNIT_ASSERT(errorOf(value).code == ErrorCode::JsonMalformed);
        }
    }

    // Guards against a limit that refuses ordinary texts, or that counts brackets in strings.
    void testNestingIsLimited()
    {
        for (const std::size_t depth : {1U, 63U, 64U, 65U, 1000U}) {
            const std::string text = std::string(depth, '[') + std::string(depth, ']');
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(depth), depth > 64, isError(JsonValue::tryParse(text)));
        }
        CPPUNIT_ASSERT(!isError(JsonValue::tryParse('"' + std::string(1000, '[') + '"')));
    }

    // Guards against a number that wraps round to another one, which a range check would let pass.
    void testNumbersAreKeptOrRefused()
    {
        struct Case
        {
            std::string text;
            std::optional<std::int64_t> expected;
        };
        const std::vector<Case> cases {
            {"9223372036854775807", std::numeric_limits<std::int64_t>::max()},
            {"-9223372036854775808", std::numeric_limits<std::int64_t>::min()},
            {"9223372036854775808", std::nullopt},
            {"18446744073709551617", std::nullopt},
            {"99999999999999999999999999", std::nullopt},
            {"65536", 65536},
            {"65536.0", std::nullopt},
        };
        for (const Case &item : cases) {
            const Result<JsonValue> value = JsonValue::tryParse("{\"n\":" + item.text + '}');
            if (isError(value)) {
                CPPUNIT_ASSERT_MESSAGE(item.text, !item.expected);
                continue;
            }
            std::vector<Error> errors;
            JsonObjectReader reader(valueOf(value), "$", errors);
            const std::int64_t number =
                reader.requiredInteger("n", std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.text, item.expected.has_value(), errors.empty());
            CPPUNIT_ASSERT_MESSAGE(item.text, !item.expected || number == *item.expected);
        }
    }

    // Guards against values that change between text and value.
    void testTextRoundTrip()
    {
        const std::vector<std::string> texts {R"({"a":[1,-2,3.5,true,null,"x\"y"],"b":{}})", "[]", R"({"big":9007199254740993})"};
        for (const std::string &text : texts) {
            const Result<JsonValue> value = JsonValue::tryParse(text);
            CPPUNIT_ASSERT(!isError(value));
            CPPUNIT_ASSERT_EQUAL(text, valueOf(value).toText());
        }
    }

    // Guards against settings errors that do not say where they are.
    void testEveryErrorIsNamedWithItsPath()
    {
        struct Case
        {
            std::string text;
            ErrorCode code;
            std::string detail;
        };
        const std::vector<Case> cases {
            {R"({"port":1,"extra":2})", ErrorCode::SettingsUnknownKey, "$.extra: unknown key"},
            {R"({})", ErrorCode::SettingsMissingKey, "$.port: missing"},
            {R"({"port":"x"})", ErrorCode::SettingsWrongType, "$.port: expected an integer"},
            {R"({"port":70000})", ErrorCode::SettingsOutOfRange, "$.port: must be from 0 to 65535"},
            {R"({"port":1,"labels":{"a":1}})", ErrorCode::SettingsWrongType, "$.labels.a: expected a string"},
            {R"([])", ErrorCode::SettingsWrongType, "$: expected an object"},
        };
        for (const Case &item : cases) {
            const Result<JsonValue> value = JsonValue::tryParse(item.text);
            CPPUNIT_ASSERT(!isError(value));
            std::vector<Error> errors;
            JsonObjectReader reader(valueOf(value), "$", errors);
            reader.requiredInteger("port", 0, 65535);
            reader.optionalLabels("labels");
            reader.finish();
            CPPUNIT_ASSERT(!errors.empty());
            CPPUNIT_ASSERT(errors.front().code == item.code);
            CPPUNIT_ASSERT_EQUAL(item.detail, errors.front().detail);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestJson);

} // namespace Fuchsiastep

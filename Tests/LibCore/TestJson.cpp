#include <LibCore/LibCore.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep {

class TestJson : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestJson);
    CPPUNIT_TEST(testMalformedTextsAreRefused);
    CPPUNIT_TEST(testTextRoundTrip);
    CPPUNIT_TEST(testEveryErrorIsNamedWithItsPath);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a crash or a partial value from hostile text.
    void testMalformedTextsAreRefused()
    {
        const std::vector<std::string> texts {"", "{", "{\"a\":}", "[1,2", std::string(100'000, '['), "\xff\xfe", "{\"a\":1}}"};
        for (const std::string &text : texts) {
            const Result<JsonValue> value = JsonValue::tryParse(text);
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 20), isError(value));
            CPPUNIT_ASSERT(errorOf(value).code == ErrorCode::JsonMalformed);
        }
    }

    // Guards against values that change on the way through json-glib.
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

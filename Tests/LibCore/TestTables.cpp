#include <LibCore/LibCore.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

namespace Fuchsiastep {

static std::string readDocument(const std::string &name)
{
    std::ifstream file(std::string(FUCHSIASTEP_SOURCE_DIR) + "/docs/" + name);
    std::stringstream content;
    content << file.rdbuf();
    return content.str();
}

class TestTables : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTables);
    CPPUNIT_TEST(testErrorCodesAreInOrder);
    CPPUNIT_TEST(testLogEventsAreInOrder);
    CPPUNIT_TEST(testDocumentsListEveryRow);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a row out of order, which the binary search would not find.
    void testErrorCodesAreInOrder()
    {
        for (const ErrorCodeInfo &info : errorCodeTable()) {
            CPPUNIT_ASSERT(errorCodeInfo(info.code).name == info.name);
        }
        CPPUNIT_ASSERT(errorCodeInfo(static_cast<ErrorCode>(9999)).code == ErrorCode::None);
    }

    void testLogEventsAreInOrder()
    {
        for (const LogEventInfo &info : logEventTable()) {
            CPPUNIT_ASSERT(logEventInfo(info.event).name == info.name);
        }
    }

    // Guards against codes and events that the docs do not list. Meta/update-tables.sh rewrites the docs.
    void testDocumentsListEveryRow()
    {
        const std::string errors = readDocument("errors.md");
        for (const ErrorCodeInfo &info : errorCodeTable()) {
            const std::string row = "| " + std::to_string(static_cast<unsigned>(info.code)) + " | `" + std::string(info.name) + "` | "
                + std::to_string(info.httpStatus) + " | " + std::string(info.description) + " |";
            CPPUNIT_ASSERT_MESSAGE(row, errors.find(row) != std::string::npos);
        }
        const std::string events = readDocument("log-events.md");
        for (const LogEventInfo &info : logEventTable()) {
            const std::string row = "| " + std::to_string(static_cast<unsigned>(info.event)) + " | `" + std::string(info.name) + "` |";
            CPPUNIT_ASSERT_MESSAGE(row, events.find(row) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(row, events.find(std::string(info.description)) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTables);

} // namespace Fuchsiastep

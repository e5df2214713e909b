#include <LibCore/LogLineWriter.h>
#include <LibCore/LogRateLimit.h>

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <array>
#include <string>

namespace Fuchsiastep {

class TestLogging : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLogging);
    CPPUNIT_TEST(testLinesOfAnEventAreBounded);
    CPPUNIT_TEST(testReaderThatStopsHoldsUpNobody);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a fault that touches every request and fills the log, and against lines that vanish uncounted.
    void testLinesOfAnEventAreBounded()
    {
        Clock clock = Clock::manual();
        LogRateLimit limit(clock);
        constexpr std::uint64_t Offered = 100'000;
        constexpr std::uint64_t Seconds = 10;
        std::uint64_t written = 0;
        std::uint64_t leftOut = 0;
        for (std::uint64_t line = 0; line < Offered; ++line) {
            if (const auto before = limit.admit(LogEvent::RequestRefused)) {
                ++written;
                leftOut += *before;
            }
            clock.advance(std::chrono::seconds(Seconds) / Offered);
        }
        CPPUNIT_ASSERT(written <= (Seconds + 1) * LogRateLimit::LinesPerSecond);
        clock.advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT_MESSAGE("another event has lines of its own", limit.admit(LogEvent::RequestUnknown) == std::uint64_t(0));
        leftOut += *limit.admit(LogEvent::RequestRefused);
        CPPUNIT_ASSERT_EQUAL(Offered, written + leftOut);
    }

    // Guards against a process that waits because nobody reads its log.
    void testReaderThatStopsHoldsUpNobody()
    {
        std::array<int, 2> ends {};
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
        LogLineWriter writer(ends[1]);
        const std::string line = std::string(200, 'x') + '\n';
        std::uint64_t written = 0;
        for (int count = 0; count < 10'000; ++count) {
            written += writer.write(line) ? 1 : 0;
        }
        CPPUNIT_ASSERT(written > 0 && writer.dropped() > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10'000), written + writer.dropped());
        std::string received(written * line.size() + 1, '\0');
        std::size_t size = 0;
        while (size < written * line.size()) {
            const ssize_t count = read(ends[0], received.data() + size, received.size() - size);
            CPPUNIT_ASSERT(count > 0);
            size += static_cast<std::size_t>(count);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("lines are whole", written * line.size(), size);
        CPPUNIT_ASSERT_MESSAGE("the reader is back", writer.write(line));
        close(ends[0]);
        close(ends[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLogging);

} // namespace Fuchsiastep

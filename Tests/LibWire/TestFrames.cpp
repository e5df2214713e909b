#include <LibWire/LibWire.h>

#include <LibCore/LibCore.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep {

static std::vector<Frame> sampleFrames()
{
    RequestFrame request;
    request.requestId = 7;
    request.service = "order-desk";
    request.headers = {{"content-type", "text/plain"}};
    request.key = "batch-1";
    request.timeLeftMs = 250;
    request.body = std::string("\0binary", 7);
    request.selector = "night-orders";
    request.targetLeftMs = 200;
    request.sentAtMs = 1234567890123;
    request.maximumWaitMs = 20;
    request.traceId = "9c41";
    request.workspace = "north";
    request.authorizedForMs = 900;
    AnswerFrame answer;
    answer.requestId = 7;
    answer.outcome = RequestOutcome::NotRun;
    answer.code = ErrorCode::Draining;
    answer.status = 503;
    answer.crashId = 1ULL << 63U;
    answer.load = {6, 2, 1, 400};
    answer.load.serviceMs = 120;
    answer.load.failurePermille = 30;
    answer.load.transferMs = 250;
    return {HelloFrame {1, "p1", 99, "toowoomba"},
        request,
        answer,
        AnswerPartFrame {7, 65536, "part", true},
        CancelFrame {7},
        AnswerPartAckFrame {7, 65540},
        ConfigurationPushFrame {1, 2, Digest::of("a"), Digest::of("b"), "delta", 10, 20},
        ConfigurationAckFrame {2, true},
        ConfigurationPullFrame {1, Digest::of("a")},
        ConfigurationSnapshotFrame {2, Digest::of("b"), "content"},
        SnapshotDeferredFrame {300},
        VersionNudgeFrame {3},
        MembershipSyncFrame {"records", true},
        CrashSuspectsFrame {"entries", 12},
        CrashSuspectsAckFrame {12},
        CrashSuspectsQueryFrame {},
        FleetReportFrame {5, true, "sections"},
        FleetReplyFrame {5, "sections"}};
}

class TestFrames : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestFrames);
    CPPUNIT_TEST(testEveryFrameSurvivesTheRoundTrip);
    CPPUNIT_TEST(testStreamIsCutAnywhere);
    CPPUNIT_TEST(testInvalidBodiesAreRefused);
    CPPUNIT_TEST(testRandomBytesNeverCrash);
    CPPUNIT_TEST_SUITE_END();

    void testEveryFrameSurvivesTheRoundTrip()
    {
        for (const Frame &frame : sampleFrames()) {
            const std::string bytes = encodeFrame(frame);
            const Result<Frame> decoded = tryDecodeFrame(std::string_view(bytes).substr(FrameHeaderBytes));
            CPPUNIT_ASSERT(!isError(decoded));
            CPPUNIT_ASSERT(valueOf(decoded) == frame);
        }
    }

    // Guards against frames that are lost or joined where TCP splits the stream.
    void testStreamIsCutAnywhere()
    {
        std::string stream;
        for (const Frame &frame : sampleFrames()) {
            stream += encodeFrame(frame);
        }
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            Random random(seed);
            FrameBuffer buffer;
            std::vector<Frame> received;
            for (std::size_t position = 0; position < stream.size();) {
                const std::size_t length = std::min(1 + random.below(90), stream.size() - position);
                buffer.append(std::string_view(stream).substr(position, length));
                position += length;
                while (true) {
                    Result<std::optional<Frame>> next = buffer.tryNext();
                    CPPUNIT_ASSERT(!isError(next));
                    if (!valueOf(next)) {
                        break;
                    }
                    received.push_back(*valueOf(next));
                }
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), received == sampleFrames());
            CPPUNIT_ASSERT(!buffer.hasPartialFrame());
        }
    }

    void testInvalidBodiesAreRefused()
    {
        struct Case
        {
            std::string body;
            ErrorCode code;
        };
        const std::vector<Case> cases {
            {"", ErrorCode::FrameMalformed},
            {"\x01", ErrorCode::FrameMalformed},
            {"\x90", ErrorCode::FrameMalformed},
            {"\x92\x05", ErrorCode::FrameMalformed},
            {"\x92\x05\xa1x", ErrorCode::FrameMalformed},
            {"\x91\x05", ErrorCode::FrameMalformed},
            {"\x92\x63\x01", ErrorCode::FrameUnknownType},
            {"\x92\x05\x01\x01", ErrorCode::FrameMalformed},
            {"\xdd\xff\xff\xff\xff", ErrorCode::FrameMalformed},
            {"not msgpack at all", ErrorCode::FrameMalformed},
        };
        for (const Case &item : cases) {
            const Result<Frame> frame = tryDecodeFrame(item.body);
            CPPUNIT_ASSERT(isError(frame));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(errorOf(frame)), static_cast<int>(item.code), static_cast<int>(errorOf(frame).code));
        }
        FrameBuffer tooLong;
        tooLong.append(std::string("\x7f\xff\xff\xff", 4));
        const Result<std::optional<Frame>> next = tooLong.tryNext();
        CPPUNIT_ASSERT(isError(next));
        CPPUNIT_ASSERT(errorOf(next).code == ErrorCode::FrameTooLong);
    }

    // Guards against a crash or a hang on bytes that no proxy sends.
    void testRandomBytesNeverCrash()
    {
        const std::vector<Frame> samples = sampleFrames();
        for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
            Random random(seed);
            std::string body = encodeFrame(samples[random.below(samples.size())]).substr(FrameHeaderBytes);
            const std::size_t changes = 1 + random.below(4);
            for (std::size_t i = 0; i < changes; ++i) {
                body[random.below(body.size())] = static_cast<char>(random.next());
            }
            body.resize(random.chance(0.3) ? random.below(body.size() + 1) : body.size());
            tryDecodeFrame(body);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFrames);

} // namespace Fuchsiastep

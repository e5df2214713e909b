#include <LibRequest/LibRequest.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep {

class TestAnswerAssembly : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAnswerAssembly);
    CPPUNIT_TEST(testOnlyTheWholeAnswerIsComplete);
    CPPUNIT_TEST(testContradictionsBreakTheAnswer);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a short or mixed-up answer (I4): frames come in any order and twice, and one may be lost.
    void testOnlyTheWholeAnswerIsComplete()
    {
        for (std::uint64_t seed = 0; seed < 3000; ++seed) {
            Random random(seed);
            std::string body;
            for (std::size_t length = random.below(400); body.size() < length;) {
                body += static_cast<char>('a' + random.below(26));
            }
            const std::size_t partBytes = 1 + random.below(60);
            AnswerFrame header;
            header.bodyLength = body.size();
            header.body = body.substr(0, partBytes);
            std::vector<std::variant<AnswerFrame, AnswerPartFrame>> frames {header};
            for (std::size_t offset = partBytes; offset < body.size(); offset += partBytes) {
                frames.emplace_back(AnswerPartFrame {0, offset, body.substr(offset, partBytes), offset + partBytes >= body.size()});
            }
            const bool isOneLost = random.chance(0.5);
            if (isOneLost) {
                frames.erase(frames.begin() + static_cast<std::ptrdiff_t>(random.below(frames.size())));
            }
            if (!frames.empty() && random.chance(0.5)) {
                frames.push_back(frames[random.below(frames.size())]);
            }
            std::shuffle(frames.begin(), frames.end(), std::mt19937_64(seed));
            AnswerAssembly assembly(1000);
            for (const auto &frame : frames) {
                std::visit([&](const auto &item) { assembly.add(item); }, frame);
            }
            const std::string message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, !isOneLost, assembly.state() == AnswerAssembly::State::Complete);
            if (!isOneLost) {
                CPPUNIT_ASSERT_MESSAGE(message, assembly.take().body == body);
            }
        }
    }

    // Guards against answers that are complete by count but not by content.
    void testContradictionsBreakTheAnswer()
    {
        struct Case
        {
            std::string name;
            std::uint64_t bodyLength;
            std::vector<AnswerPartFrame> parts;
        };
        const std::vector<Case> cases {
            {"overlap", 6, {{0, 0, "abcd", false}, {0, 2, "cdef", true}}},
            {"other content", 4, {{0, 0, "abcd", false}, {0, 0, "abce", true}}},
            {"too long", 3, {{0, 0, "abcd", true}}},
            {"last too early", 6, {{0, 0, "abcd", true}}},
            {"beyond the limit", 2000, {}},
            {"offset overflow", 6, {{0, ~0ULL, "ab", false}}},
        };
        for (const Case &item : cases) {
            AnswerAssembly assembly(1000);
            AnswerFrame header;
            header.bodyLength = item.bodyLength;
            assembly.add(header);
            for (const AnswerPartFrame &part : item.parts) {
                assembly.add(part);
            }
            CPPUNIT_ASSERT_MESSAGE(item.name, assembly.state() == AnswerAssembly::State::Broken);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAnswerAssembly);

} // namespace Fuchsiastep

#include <fuchsiactl/ChangeSubmission.h>

#include <LibCore/Random.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep::ControlTool {

class TestChangeSubmission : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestChangeSubmission);
    CPPUNIT_TEST(testOutcomes);
    CPPUNIT_TEST(testSeededHistoriesAgreeWithTheNaiveRule);
    CPPUNIT_TEST_SUITE_END();

    using Answer = Result<ControlAnswer>;

    static Answer accepted()
    {
        return ControlAnswer {200, R"({"version":8,"digest":"d"})"};
    }
    static Answer refused(std::uint16_t status, int code)
    {
        return ControlAnswer {status, "{\"code\":" + std::to_string(code) + ",\"detail\":\"x\"}"};
    }
    static Answer lost()
    {
        return Error {ErrorCode::ConnectionClosed, "closed"};
    }
    static Answer unreachable()
    {
        return Error {ErrorCode::ProxyUnreachable, "refused"};
    }

    /// Feeds answers until the submission ends; the last answer is repeated. ErrorCode::None means accepted.
    static ErrorCode outcomeOf(std::size_t proxies, const std::vector<Answer> &answers, std::size_t *attempts = nullptr)
    {
        constexpr std::size_t AttemptLimit = 100;
        ChangeSubmission submission(proxies, "op-1");
        SubmissionStep step = ChangeSubmission::first();
        std::size_t count = 0;
        while (const auto *attempt = std::get_if<SubmissionAttempt>(&step)) {
            CPPUNIT_ASSERT(attempt->proxyIndex < proxies && count < AttemptLimit);
            step = submission.handle(answers[std::min(count, answers.size() - 1)]);
            ++count;
        }
        if (attempts != nullptr) {
            *attempts = count;
        }
        return std::holds_alternative<Error>(step) ? std::get<Error>(step).code : ErrorCode::None;
    }

    // Guards against a change that is reported as refused although it was stored, and against endless attempts.
    void testOutcomes()
    {
        struct Case
        {
            std::string name;
            std::size_t proxies;
            std::vector<Answer> answers;
            ErrorCode outcome;
            std::size_t attempts;
        };
        const Answer busy = refused(503, 300);
        const Answer unknown = refused(503, 407);
        const Answer conflict = refused(409, 406);
        const Answer dangling = refused(422, 401);
        const std::vector<Case> cases {
            {"accepted", 1, {accepted()}, ErrorCode::None, 1},
            {"conflict", 3, {conflict}, ErrorCode::ChangeConflict, 1},
            {"dangling", 3, {dangling}, ErrorCode::DanglingReference, 1},
            {"second proxy accepts", 2, {unreachable(), accepted()}, ErrorCode::None, 2},
            {"no proxy is reachable", 3, {unreachable()}, ErrorCode::ProxyUnreachable, 3},
            {"platform down", 2, {busy}, ErrorCode::PlatformUnavailable, 2},
            {"lost, then settled", 1, {lost(), accepted()}, ErrorCode::None, 2},
            {"lost, then a conflict", 1, {lost(), conflict}, ErrorCode::ChangeConflict, 2},
            {"lost for ever", 1, {lost()}, ErrorCode::ChangeOutcomeUnknown, 5},
            {"lost, then unreachable", 1, {lost(), unreachable()}, ErrorCode::ChangeOutcomeUnknown, 5},
            {"lost, then platform down", 1, {lost(), busy}, ErrorCode::ChangeOutcomeUnknown, 5},
            {"lost, then dangling", 1, {lost(), dangling}, ErrorCode::ChangeOutcomeUnknown, 5},
            {"told unknown, then settled", 1, {unknown, unknown, accepted()}, ErrorCode::None, 3},
            {"success without a version", 1, {ControlAnswer {200, "{}"}}, ErrorCode::ChangeOutcomeUnknown, 5},
            {"success that is not JSON", 1, {ControlAnswer {200, "<html>"}}, ErrorCode::ChangeOutcomeUnknown, 5},
            {"error of something between", 1, {ControlAnswer {502, "<html>"}}, ErrorCode::ChangeOutcomeUnknown, 5},
        };
        for (const Case &item : cases) {
            std::size_t attempts = 0;
            CPPUNIT_ASSERT_MESSAGE(item.name, outcomeOf(item.proxies, item.answers, &attempts) == item.outcome);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.attempts, attempts);
        }
    }

    // Guards against any order of answers that yields a false "refused": after a lost answer only an accepted version,
    // a conflict or a malformed request may end the submission with another outcome than unknown.
    void testSeededHistoriesAgreeWithTheNaiveRule()
    {
        const std::vector<Answer> kinds {
            accepted(), lost(), unreachable(), refused(503, 300), refused(503, 407), refused(409, 406), refused(422, 401)};
        const std::vector<bool> mayHaveStored {true, true, false, false, true, false, false};
        for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
            Random random(seed);
            const std::size_t proxies = 1 + random.below(3);
            std::vector<Answer> answers;
            bool wasLost = false;
            bool isUnknownForced = false;
            ChangeSubmission submission(proxies, "op-1");
            SubmissionStep step = ChangeSubmission::first();
            std::size_t kind = 0;
            while (std::holds_alternative<SubmissionAttempt>(step)) {
                kind = 1 + random.below(kinds.size() - 1);
                isUnknownForced = wasLost && kind != 5;
                wasLost = wasLost || mayHaveStored[kind];
                step = submission.handle(kinds[kind]);
            }
            const ErrorCode code = std::get<Error>(step).code;
            const std::string message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, (code == ErrorCode::ChangeOutcomeUnknown) == (wasLost && kind != 5));
            CPPUNIT_ASSERT_MESSAGE(message, !isUnknownForced || code == ErrorCode::ChangeOutcomeUnknown);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestChangeSubmission);

} // namespace Fuchsiastep::ControlTool

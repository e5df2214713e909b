#include <fuchsiactl/ChangeSubmission.h>

#include <LibCore/JsonObjectReader.h>
#include <fuchsiactl/AnswerReader.h>

#include <algorithm>
#include <limits>

namespace Fuchsiastep::ControlTool {

static constexpr std::size_t AttemptsPerProxy = 2;
static constexpr std::size_t MinimumAttempts = 5;
static constexpr Duration FirstPause = std::chrono::milliseconds(200);
static constexpr Duration LongestPause = std::chrono::seconds(2);
static constexpr std::uint16_t BadRequestStatus = 400;
static constexpr std::uint16_t ServerErrorStatus = 500;

static Result<AcceptedChange> tryReadAccepted(const JsonValue &value)
{
    std::vector<Error> errors;
    JsonObjectReader reader(value, "$", errors);
    AcceptedChange accepted;
    accepted.version = static_cast<std::uint64_t>(reader.requiredInteger("version", 1, std::numeric_limits<std::int64_t>::max()));
    accepted.digest = reader.optionalString("digest");
    if (!errors.empty()) {
        return errors.front();
    }
    return accepted;
}

/// The proxy says that this submission changed nothing, and another proxy may be able to take it.
static bool isTemporaryRefusal(ErrorCode code)
{
    return code == ErrorCode::PlatformUnavailable || code == ErrorCode::NotReady || code == ErrorCode::Draining;
}

ChangeSubmission::ChangeSubmission(std::size_t proxyCount, std::string operation)
    : m_proxyCount(std::max<std::size_t>(proxyCount, 1)), m_operation(std::move(operation))
{ }

SubmissionStep ChangeSubmission::handle(const Result<ControlAnswer> &answer)
{
    ++m_attempts;
    if (isError(answer)) {
        m_isUnsettled = m_isUnsettled || errorOf(answer).code != ErrorCode::ProxyUnreachable;
        return nextAttempt(errorOf(answer));
    }
    const Result<JsonValue> body = tryReadAnswer(valueOf(answer));
    if (isError(body)) {
        return handleRefusal(errorOf(body), valueOf(answer).status);
    }
    const Result<AcceptedChange> accepted = tryReadAccepted(valueOf(body));
    if (isError(accepted)) {
        m_isUnsettled = true;
        return nextAttempt({ErrorCode::ChangeOutcomeUnknown, "the answer names no version"});
    }
    return valueOf(accepted);
}

SubmissionStep ChangeSubmission::handleRefusal(const Error &error, std::uint16_t status)
{
    // A malformed request and a conflict stay what they are: an accepted operation would have yielded its version.
    if (error.code == ErrorCode::ChangeConflict || status == BadRequestStatus) {
        return error;
    }
    if (isTemporaryRefusal(error.code)) {
        return nextAttempt(error);
    }
    // Other refusals depend on the objects in force, so they say nothing about an earlier attempt that is still under way.
    const bool isCertain = status >= BadRequestStatus && status < ServerErrorStatus;
    if (isCertain && !m_isUnsettled) {
        return error;
    }
    m_isUnsettled = true;
    return nextAttempt(error);
}

SubmissionStep ChangeSubmission::nextAttempt(const Error &reason)
{
    m_lastError = reason;
    m_attemptsWithoutEffect = m_isUnsettled ? 0 : m_attemptsWithoutEffect + 1;
    const bool wasEveryProxyTried = m_attemptsWithoutEffect >= m_proxyCount;
    if (wasEveryProxyTried || m_attempts >= std::max(MinimumAttempts, m_proxyCount * AttemptsPerProxy)) {
        return giveUp();
    }
    SubmissionAttempt attempt;
    attempt.proxyIndex = m_attempts % m_proxyCount;
    if (m_isUnsettled) {
        attempt.pause = std::min(LongestPause, FirstPause * (1U << std::min<std::size_t>(m_attempts - 1, 8)));
    }
    return attempt;
}

Error ChangeSubmission::giveUp() const
{
    if (!m_isUnsettled) {
        return m_lastError;
    }
    return {ErrorCode::ChangeOutcomeUnknown,
        "the change may have been accepted; submit it again with --operation " + m_operation + " (" + m_lastError.detail + ")"};
}

} // namespace Fuchsiastep::ControlTool

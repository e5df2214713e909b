#pragma once

#include <LibCore/Clock.h>
#include <LibCore/JsonValue.h>
#include <LibCore/Result.h>
#include <fuchsiactl/ControlRequest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace Fuchsiastep::ControlTool {

/// Submit the change to this proxy after the pause.
struct SubmissionAttempt
{
    std::size_t proxyIndex = 0;
    Duration pause {0};
};

/// The change is stored under this version.
struct AcceptedChange
{
    std::uint64_t version = 0;
    std::string digest;
};

using SubmissionStep = std::variant<SubmissionAttempt, AcceptedChange, Error>;

/// Decides how one change is submitted: which proxy is tried next, when the same operation is submitted again, and
/// what the outcome is. Once an answer is lost, only an answer that cannot follow an accepted change ends it as refused.
class ChangeSubmission
{
public:
    ChangeSubmission(std::size_t proxyCount, std::string operation);

    static SubmissionStep first()
    {
        return SubmissionAttempt {};
    }
    /// What follows the answer to the last attempt.
    SubmissionStep handle(const Result<ControlAnswer> &answer);
    /// The error where the time ran out before the outcome was known.
    Error giveUp() const;

private:
    SubmissionStep nextAttempt(const Error &reason);
    SubmissionStep handleRefusal(const Error &error, std::uint16_t status);

    std::size_t m_proxyCount;
    std::string m_operation;
    std::size_t m_attempts = 0;
    /// Attempts in a row that certainly had no effect.
    std::size_t m_attemptsWithoutEffect = 0;
    /// An attempt may have taken effect, and no later answer settled it.
    bool m_isUnsettled = false;
    Error m_lastError {ErrorCode::ProxyUnreachable, "no attempt was made"};
};

} // namespace Fuchsiastep::ControlTool

#include <fuchsiactl/ControlPoint.h>

#include <fuchsiactl/AnswerReader.h>

#include <algorithm>
#include <thread>

namespace Fuchsiastep::ControlTool {

/// A proxy that does not answer in this time is passed over for the next one.
static constexpr Duration AnswerTimeout = std::chrono::seconds(5);

ControlPoint::ControlPoint(std::vector<SocketAddress> proxies, Duration timeout)
    : m_proxies(std::move(proxies)), m_startedAt(m_clock.now()), m_deadline(m_startedAt + timeout)
{ }

Duration ControlPoint::elapsed() const
{
    return m_clock.now() - m_startedAt;
}

Duration ControlPoint::timeLeft() const
{
    return std::max(m_deadline - m_clock.now(), Duration(0));
}

Duration ControlPoint::answerTimeout() const
{
    return std::min(AnswerTimeout, timeLeft());
}

void ControlPoint::pause(Duration pause) const
{
    std::this_thread::sleep_for(std::min(pause, timeLeft()));
}

static bool canAnotherProxyAnswer(const Error &error)
{
    return error.code == ErrorCode::ProxyUnreachable || error.code == ErrorCode::WaitTimeout || error.code == ErrorCode::ConnectionClosed
        || error.code == ErrorCode::NotReady || error.code == ErrorCode::Draining || error.code == ErrorCode::PlatformUnavailable;
}

Result<JsonValue> ControlPoint::tryRead(const std::string &path)
{
    Error last {ErrorCode::ProxyUnreachable, "no proxy is given"};
    for (std::size_t count = 0; count < m_proxies.size(); ++count) {
        const std::size_t index = (m_preferred + count) % m_proxies.size();
        if (timeLeft() == Duration(0)) {
            return Error {ErrorCode::WaitTimeout, "the time ran out; last: " + last.detail};
        }
        const Result<ControlAnswer> answer = m_client.trySend({m_proxies[index], "GET", path, {}}, answerTimeout());
        Result<JsonValue> body = isError(answer) ? Result<JsonValue>(errorOf(answer)) : tryReadAnswer(valueOf(answer));
        if (!isError(body) || !canAnotherProxyAnswer(errorOf(body))) {
            m_preferred = index;
            return body;
        }
        last = errorOf(body);
    }
    return last;
}

Result<JsonValue> ControlPoint::tryPost(const std::string &path, const std::string &body)
{
    const Result<ControlAnswer> answer = m_client.trySend({m_proxies.front(), "POST", path, body}, answerTimeout());
    if (isError(answer)) {
        return errorOf(answer);
    }
    return tryReadAnswer(valueOf(answer));
}

Result<AcceptedChange> ControlPoint::trySubmit(const std::string &operation, const std::string &body, bool wasSubmittedBefore)
{
    ChangeSubmission submission(m_proxies.size(), operation);
    SubmissionStep step = ChangeSubmission::first();
    // The proxy must know of an earlier submission, or it would take its own failure for the certain end of both.
    bool isRepeated = wasSubmittedBefore;
    while (const auto *attempt = std::get_if<SubmissionAttempt>(&step)) {
        pause(attempt->pause);
        if (timeLeft() == Duration(0)) {
            return submission.giveUp();
        }
        const std::size_t index = (m_preferred + attempt->proxyIndex) % m_proxies.size();
        const std::string path = isRepeated ? "/v1/operator/changes?repeated=1" : "/v1/operator/changes";
        step = submission.handle(m_client.trySend({m_proxies[index], "POST", path, body}, answerTimeout()));
        isRepeated = true;
    }
    if (const auto *accepted = std::get_if<AcceptedChange>(&step)) {
        return *accepted;
    }
    return std::get<Error>(step);
}

std::vector<Result<JsonValue>> ControlPoint::readFromAll(const std::vector<SocketAddress> &proxies, const std::string &path)
{
    std::vector<ControlRequest> requests;
    requests.reserve(proxies.size());
    for (const SocketAddress &proxy : proxies) {
        requests.push_back({proxy, "GET", path, {}});
    }
    std::vector<Result<JsonValue>> bodies;
    bodies.reserve(proxies.size());
    for (const Result<ControlAnswer> &answer : m_client.sendAll(requests, answerTimeout())) {
        bodies.push_back(isError(answer) ? Result<JsonValue>(errorOf(answer)) : tryReadAnswer(valueOf(answer)));
    }
    return bodies;
}

} // namespace Fuchsiastep::ControlTool

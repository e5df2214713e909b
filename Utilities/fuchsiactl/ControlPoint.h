#pragma once

#include <LibCore/Clock.h>
#include <LibCore/JsonValue.h>
#include <LibCore/Result.h>
#include <fuchsiactl/ChangeSubmission.h>
#include <fuchsiactl/ControlClient.h>

#include <string>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// The operators' side of the mesh: a list of proxies that are tried in turn, and the time that the command may take.
class ControlPoint
{
public:
    /// The time runs from here.
    ControlPoint(std::vector<SocketAddress> proxies, Duration timeout);

    /// Reads from the first proxy that answers. Fails with the answer's own error, ProxyUnreachable, WaitTimeout
    /// or ConnectionClosed.
    Result<JsonValue> tryRead(const std::string &path);
    /// Posts once to the first proxy of the list.
    Result<JsonValue> tryPost(const std::string &path, const std::string &body);
    /// Submits a change until its outcome is known. Fails also with ChangeOutcomeUnknown.
    Result<AcceptedChange> trySubmit(const std::string &operation, const std::string &body, bool wasSubmittedBefore);
    /// Reads \a path from many proxies with bounded concurrency; results are in the order of \a proxies.
    std::vector<Result<JsonValue>> readFromAll(const std::vector<SocketAddress> &proxies, const std::string &path);

    /// Lets \a pause pass, but not more than the time left.
    void pause(Duration pause) const;
    Duration elapsed() const;
    Duration timeLeft() const;

private:
    Duration answerTimeout() const;

    std::vector<SocketAddress> m_proxies;
    /// The proxy that answered last; it is tried first.
    std::size_t m_preferred = 0;
    Clock m_clock = Clock::system();
    TimePoint m_startedAt;
    TimePoint m_deadline;
    ControlClient m_client;
};

} // namespace Fuchsiastep::ControlTool

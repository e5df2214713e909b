#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <fuchsiactl/ControlRequest.h>

#include <libsoup/soup.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// An HTTP client by libsoup. It runs the default main context while it waits.
class ControlClient
{
public:
    /// Requests that are under way at once when many proxies are asked.
    static constexpr std::size_t DefaultConcurrency = 32;

    explicit ControlClient(std::size_t concurrency = DefaultConcurrency);
    ~ControlClient();
    ControlClient(const ControlClient &) = delete;
    ControlClient &operator=(const ControlClient &) = delete;

    /// Fails with ProxyUnreachable where the request was certainly not sent, and otherwise with WaitTimeout or
    /// ConnectionClosed, where the proxy may have taken it.
    Result<ControlAnswer> trySend(const ControlRequest &request, Duration timeout);

    /// Sends all, with bounded concurrency. Results are in the order of the requests; \a timeout is for each.
    std::vector<Result<ControlAnswer>> sendAll(const std::vector<ControlRequest> &requests, Duration timeout);

private:
    struct Batch;
    struct Exchange;

    void start(Batch &batch);

    std::size_t m_concurrency;
    SoupSession *m_session;
};

} // namespace Fuchsiastep::ControlTool

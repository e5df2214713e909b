#pragma once

#include <LibLab/HttpCall.h>
#include <LibLab/HttpReply.h>

#include <libsoup/soup.h>

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace Fuchsiastep {

/// Sends HTTP requests on the default main context with bounded concurrency. Each goes over a connection of its
/// own, because libsoup sends a request a second time where a kept connection breaks.
class LabHttp
{
public:
    using Callback = std::function<void(HttpReply)>;

    LabHttp();
    /// Drops the callbacks that are still due.
    ~LabHttp();
    LabHttp(const LabHttp &) = delete;
    LabHttp &operator=(const LabHttp &) = delete;

    /// Answers exactly once, never from within send(). The timeout counts from the time the request is on the network.
    void send(HttpCall call, Callback callback);
    std::size_t pending() const
    {
        return m_active.size() + m_waiting.size();
    }

    /// Sends all and runs the main loop until each has its reply, in the order of \a calls.
    std::vector<HttpReply> fetchAll(std::vector<HttpCall> calls);
    HttpReply fetch(HttpCall call);

private:
    struct Exchange;
    static void onAnswered(GObject *session, GAsyncResult *result, gpointer data);
    static gboolean onTimeout(gpointer data);
    void start(HttpCall call, Callback callback);
    void startWaiting();

    SoupSession *m_session;
    std::set<Exchange *> m_active;
    std::deque<std::pair<HttpCall, Callback>> m_waiting;
};

} // namespace Fuchsiastep

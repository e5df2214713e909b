#pragma once

#include <LibCore/SocketAddress.h>
#include <LibPlatform/PlatformCounters.h>
#include <LibPlatform/PlatformFaults.h>
#include <LibPlatform/PlatformHttpAnswer.h>
#include <LibPlatform/PlatformStore.h>

#include <libsoup/soup.h>

#include <unordered_set>

namespace Fuchsiastep {

/// Serves a PlatformStore over HTTP on the default main context and injects faults. Besides the calls of
/// PlatformCodec.h: GET and POST /v1/faults (PlatformFaultSettings as JSON) and GET /v1/counters
/// (PlatformCounters as JSON). Faults do not affect these two.
class PlatformHttpService
{
public:
    PlatformHttpService(PlatformStore &store, PlatformFaults &faults);
    ~PlatformHttpService();
    PlatformHttpService(const PlatformHttpService &) = delete;
    PlatformHttpService &operator=(const PlatformHttpService &) = delete;

    /// Listens on \a address, where port 0 lets the kernel choose, and returns the address in use.
    /// Fails with ListenFailed.
    Result<SocketAddress> tryListen(const SocketAddress &address);

    const PlatformCounters &counters() const
    {
        return m_counters;
    }

private:
    struct Call;

    static void onRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data);
    static gboolean onEffectDue(gpointer data);
    static gboolean onAnswerDue(gpointer data);

    void handleFaults(SoupServerMessage *message);
    void handleCall(SoupServerMessage *message, const char *path);
    void takeEffect(Call &call);
    void answer(Call &call);
    void schedule(Call &call, Duration delay, GSourceFunc function);

    PlatformResponse execute(const PlatformRequest &request, bool isStale);
    void countRequest(const PlatformRequest &request);
    void countResponse(const PlatformRequest &request, const PlatformResponse &response);
    void respond(SoupServerMessage *message, const PlatformHttpAnswer &answer, const char *mediaType);

    PlatformStore &m_store;
    PlatformFaults &m_faults;
    PlatformCounters m_counters;
    SoupServer *m_server = nullptr;
    std::unordered_set<Call *> m_calls;
};

} // namespace Fuchsiastep

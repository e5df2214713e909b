#pragma once

#include <LibCore/SocketAddress.h>
#include <LibPlatform/PlatformCounters.h>
#include <LibPlatform/PlatformFaults.h>
#include <LibPlatform/PlatformHttpAnswer.h>
#include <LibPlatform/PlatformRestoreFault.h>
#include <LibPlatform/PlatformStore.h>

#include <libsoup/soup.h>

#include <cstdint>
#include <optional>
#include <unordered_set>

namespace Fuchsiastep {

/// Serves a PlatformStore over HTTP on the default main context and injects faults. Besides the calls of
/// PlatformCodec.h: GET and POST /v1/faults (PlatformFaultSettings as JSON), GET /v1/counters (PlatformCounters as
/// JSON), and POST /v1/restore (PlatformRestoreFault as JSON), after which the store is away and then comes back from an
/// older copy. Faults do not affect these three.
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

    /// Refuses every call for a while and then comes back from an older copy. Waiting watches go on to wait.
    void restore(const PlatformRestoreFault &fault);

    const PlatformCounters &counters() const
    {
        return m_counters;
    }

private:
    struct Call;

    static void onRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data);
    static gboolean onEffectDue(gpointer data);
    static gboolean onAnswerDue(gpointer data);
    static gboolean onWatchDue(gpointer data);
    static gboolean onRestoreDue(gpointer data);

    void handleFaults(SoupServerMessage *message);
    void handleRestore(SoupServerMessage *message);
    void handleCall(SoupServerMessage *message, const char *path);
    void takeEffect(Call &call);
    void respondTo(Call &call);
    void answerWatches();
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
    /// Set while the store is away.
    std::optional<std::uint64_t> m_restoredRevision;
    guint m_restoreTimer = 0;
};

} // namespace Fuchsiastep

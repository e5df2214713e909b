#pragma once

#include "UpstreamEmulator.h"

#include <libsoup/soup.h>

#include <unordered_set>

namespace Fuchsiastep {

/// Carries requests between HTTP and an UpstreamEmulator, on the default main context.
class UpstreamHttpServer
{
public:
    explicit UpstreamHttpServer(UpstreamEmulator &emulator);
    ~UpstreamHttpServer();
    UpstreamHttpServer(const UpstreamHttpServer &) = delete;
    UpstreamHttpServer &operator=(const UpstreamHttpServer &) = delete;

    /// Listens on \a address, where port 0 lets the kernel choose. Fails with ListenFailed.
    Result<SocketAddress> tryListen(const SocketAddress &address);

    /// Whether no request is in flight, so that every answer has been written.
    bool isIdle() const
    {
        return m_exchanges.empty();
    }

private:
    struct Exchange;

    static void onRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data);
    static gboolean onDue(gpointer data);
    static void onFinished(SoupServerMessage *message, gpointer data);

    void handleHealth(SoupServerMessage *message);
    void handleRequest(SoupServerMessage *message, const char *path);
    void runUntil(Exchange &exchange, const EmulatedRun &run);
    void abandon(Exchange &exchange);
    Exchange &add(SoupServerMessage *message);
    void wait(Exchange &exchange, Duration duration);

    UpstreamEmulator &m_emulator;
    SoupServer *m_server = nullptr;
    std::unordered_set<Exchange *> m_exchanges;
};

} // namespace Fuchsiastep

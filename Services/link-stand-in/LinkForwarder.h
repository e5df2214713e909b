#pragma once

#include <LibCore/LibCore.h>

#include <gio/gio.h>

namespace Fuchsiastep {

/// Accepts TCP connections and carries the bytes of each to and from a connection to the target.
class LinkForwarder
{
public:
    explicit LinkForwarder(const SocketAddress &target);
    ~LinkForwarder();
    LinkForwarder(const LinkForwarder &) = delete;
    LinkForwarder &operator=(const LinkForwarder &) = delete;

    /// Listens on \a address, where port 0 lets the kernel choose, and returns the address in use. Fails with ListenFailed.
    Result<SocketAddress> tryListen(SocketAddress address);

private:
    static gboolean onIncoming(GSocketService *service, GSocketConnection *caller, GObject *source, gpointer data);
    static void onConnected(GObject *client, GAsyncResult *result, gpointer data);

    GSocketService *m_service;
    GSocketClient *m_client;
    GSocketAddress *m_target;
};

} // namespace Fuchsiastep

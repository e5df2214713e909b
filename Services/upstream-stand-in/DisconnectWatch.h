#pragma once

#include <gio/gio.h>

#include <functional>

namespace Fuchsiastep {

/// Reports once when the peer of a socket closes its connection. libsoup does not read from a connection
/// whose request is paused, so it would notice only when it writes the answer.
class DisconnectWatch
{
public:
    DisconnectWatch(GSocket *socket, std::function<void()> callback);
    ~DisconnectWatch();
    DisconnectWatch(const DisconnectWatch &) = delete;
    DisconnectWatch &operator=(const DisconnectWatch &) = delete;

private:
    static gboolean onReadable(GSocket *socket, GIOCondition condition, gpointer data);

    std::function<void()> m_callback;
    GSource *m_source = nullptr;
};

} // namespace Fuchsiastep

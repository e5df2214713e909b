#pragma once

#include "UpstreamEmulator.h"

#include <libsoup/soup.h>

namespace Fuchsiastep {

/// Announces the emulated upstream to the proxy beside it, again and again, whether the proxy answers or not.
class Announcer
{
public:
    /// \a proxyUrl is the base URL of the proxy, "http://127.0.0.1:8080".
    Announcer(const UpstreamEmulator &emulator, SocketAddress address, std::string proxyUrl);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    /// Sends one announcement now, unless the previous one is still unanswered.
    void announce();
    /// Whether the proxy has answered an announcement that said draining.
    bool isDrainKnown() const
    {
        return m_isDrainKnown;
    }

private:
    static gboolean onTimer(gpointer data);
    static void onAnswered(GObject *session, GAsyncResult *result, gpointer data);

    const UpstreamEmulator &m_emulator;
    SocketAddress m_address;
    std::string m_url;
    SoupSession *m_session = nullptr;
    GCancellable *m_cancellable = nullptr;
    SoupMessage *m_message = nullptr;
    guint m_timer = 0;
    bool m_saidDraining = false;
    bool m_isDrainKnown = false;
};

} // namespace Fuchsiastep

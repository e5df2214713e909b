#include "Announcer.h"

namespace Fuchsiastep {

static constexpr guint AnnounceIntervalMs = 500;
/// An unanswered announcement is given up, so that a stuck proxy does not end the announcements.
static constexpr guint TimeoutSeconds = 2;

Announcer::Announcer(const UpstreamEmulator &emulator, SocketAddress address, std::string proxyUrl)
    : m_emulator(emulator), m_address(std::move(address)), m_url(std::move(proxyUrl) + "/v1/upstream/announce")
{
    m_session = soup_session_new_with_options("timeout", TimeoutSeconds, "proxy-resolver", nullptr, nullptr);
    m_cancellable = g_cancellable_new();
    m_timer = g_timeout_add(AnnounceIntervalMs, onTimer, this);
    announce();
}

Announcer::~Announcer()
{
    g_source_remove(m_timer);
    g_cancellable_cancel(m_cancellable);
    g_clear_object(&m_message);
    g_object_unref(m_cancellable);
    g_object_unref(m_session);
}

gboolean Announcer::onTimer(gpointer data)
{
    static_cast<Announcer *>(data)->announce();
    return G_SOURCE_CONTINUE;
}

void Announcer::announce()
{
    if (m_message != nullptr) {
        return;
    }
    m_message = soup_message_new(SOUP_METHOD_POST, m_url.c_str());
    if (m_message == nullptr) {
        return;
    }
    m_saidDraining = m_emulator.isDraining();
    const std::string text = m_emulator.announcement(m_address).toText();
    g_autoptr(GBytes) body = g_bytes_new(text.data(), text.size());
    soup_message_set_request_body_from_bytes(m_message, "application/json", body);
    soup_session_send_and_read_async(m_session, m_message, G_PRIORITY_DEFAULT, m_cancellable, onAnswered, this);
}

void Announcer::onAnswered(GObject *session, GAsyncResult *result, gpointer data)
{
    g_autoptr(GError) error = nullptr;
    g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
        // Only the destructor cancels, so the announcer is gone.
        return;
    }
    auto &announcer = *static_cast<Announcer *>(data);
    const bool isAccepted = body != nullptr && SOUP_STATUS_IS_SUCCESSFUL(soup_message_get_status(announcer.m_message));
    announcer.m_isDrainKnown = announcer.m_isDrainKnown || (isAccepted && announcer.m_saidDraining);
    g_clear_object(&announcer.m_message);
    if (announcer.m_emulator.isDraining() && !announcer.m_saidDraining) {
        announcer.announce();
    }
}

} // namespace Fuchsiastep

#pragma once

#include <glib.h>

#include <deque>
#include <functional>
#include <utility>

namespace Fuchsiastep {

/// The queue through which a task receives messages. Messages are handled one at a time in a later turn of the
/// default main context, so a sender is never called back while it sends.
template<typename Message>
class Mailbox
{
public:
    using Handler = std::function<void(Message message)>;

    explicit Mailbox(Handler handler) : m_handler(std::move(handler)), m_source(g_source_new(&sourceFunctions(), sizeof(GSource)))
    {
        g_source_set_callback(m_source, &Mailbox::dispatch, this, nullptr);
        g_source_set_ready_time(m_source, -1);
        g_source_attach(m_source, nullptr);
    }

    ~Mailbox()
    {
        g_source_destroy(m_source);
        g_source_unref(m_source);
    }

    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    void post(Message message)
    {
        m_messages.push_back(std::move(message));
        g_source_set_ready_time(m_source, 0);
    }

private:
    static GSourceFuncs &sourceFunctions()
    {
        static GSourceFuncs functions {
            nullptr,
            nullptr,
            [](GSource *, GSourceFunc callback, gpointer data) -> gboolean { return callback(data); },
            nullptr,
            nullptr,
            nullptr,
        };
        return functions;
    }

    static gboolean dispatch(gpointer data)
    {
        auto *self = static_cast<Mailbox *>(data);
        g_source_set_ready_time(self->m_source, -1);
        // Messages that arrive while these are handled wait for the next turn, so that sockets get theirs.
        std::deque<Message> messages = std::exchange(self->m_messages, {});
        for (Message &message : messages) {
            self->m_handler(std::move(message));
        }
        return G_SOURCE_CONTINUE;
    }

    Handler m_handler;
    std::deque<Message> m_messages;
    GSource *m_source;
};

} // namespace Fuchsiastep

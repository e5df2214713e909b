#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/PlatformClientSettings.h>
#include <LibPlatform/PlatformEra.h>
#include <LibPlatform/PlatformRequest.h>
#include <LibPlatform/PlatformResponse.h>

#include <libsoup/soup.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace Fuchsiastep {

/// Calls the platform over HTTP on the default main context. Every call is answered exactly once,
/// never from within send(). A call that certainly had no effect fails as PlatformUnavailable (or
/// PlatformMalformedRequest); a write that was sent and not properly answered as PlatformOutcomeUnknown;
/// a read that could not be read as PlatformMalformedAnswer. Nothing is retried. An answer of an era before the newest one
/// seen describes a state that is lost; it fails as a call that was not answered.
class PlatformClient
{
public:
    using Callback = std::function<void(PlatformResponse)>;
    using RestoredHandler = std::function<void(const PlatformRestored &restored)>;

    explicit PlatformClient(PlatformClientSettings settings);
    /// Cancels what is in flight. Callbacks that are still due are dropped.
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    void send(PlatformRequest request, Callback callback);
    /// Called when an answer shows that the platform came back from an older copy, before the callback of that answer.
    void setRestoredHandler(RestoredHandler onRestored);

    /// The newest era among the answers; 0 before the first.
    PlatformEra era() const
    {
        return m_era;
    }

    /// Calls that were sent or wait to be sent.
    std::size_t pendingCalls() const
    {
        return m_calls.size();
    }

private:
    struct Call;

    static void onHead(GObject *session, GAsyncResult *result, gpointer data);
    static void onBody(GObject *stream, GAsyncResult *result, gpointer data);
    static gboolean onTimeout(gpointer data);
    static void onNetworkEvent(SoupMessage *message, GSocketClientEvent event, GIOStream *stream, gpointer data);
    static void onStarting(SoupMessage *message, gpointer data);
    static void onRestarted(SoupMessage *message, gpointer data);

    void openSession();
    void start(Call &call);
    static void readBody(Call &call);
    /// The whole answer is there, or \a failure says why not.
    static void answered(Call &call, std::optional<std::string> failure);
    void startWaiting();
    void noteEra(PlatformEra era);
    /// Gives \a call its answer and destroys it.
    void finish(Call &call, PlatformResponse response);
    void report(const Call &call, const PlatformResponse &response);

    PlatformClientSettings m_settings;
    Clock m_clock = Clock::system();
    SoupSession *m_session = nullptr;
    std::unordered_set<Call *> m_calls;
    std::deque<Call *> m_waiting;
    std::size_t m_onNetwork = 0;
    PlatformEra m_era = 0;
    RestoredHandler m_onRestored;
    std::optional<TimePoint> m_lastReport;
    std::uint64_t m_unreported = 0;
};

} // namespace Fuchsiastep

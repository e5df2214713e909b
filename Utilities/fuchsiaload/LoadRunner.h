#pragma once

#include "AnswerChecker.h"
#include "LoadSettings.h"
#include "LoadSummary.h"
#include "PreciseTimer.h"
#include "RequestPlanner.h"

#include <libsoup/soup.h>

#include <deque>
#include <memory>
#include <optional>

namespace Fuchsiastep {

/// Sends the requests of a run on the default main context and collects their results.
class LoadRunner
{
public:
    LoadRunner(const LoadSettings &settings, std::string runId);
    ~LoadRunner();
    LoadRunner(const LoadRunner &) = delete;
    LoadRunner &operator=(const LoadRunner &) = delete;

    /// Returns when every request that was sent has ended.
    const LoadSummary &run();

private:
    struct Exchange;
    struct Arrival
    {
        PlannedRequest request;
        TimePoint due;
    };

    static void onAnswered(GObject *session, GAsyncResult *result, gpointer data);
    static void onStarting(SoupMessage *message, gpointer data);
    static void onRestarted(SoupMessage *message, gpointer data);
    static gboolean onTimeout(gpointer data);
    static gboolean onTick(gpointer data);

    bool isSendingOver() const;
    /// Plans what is due and sends what the limit on requests in flight allows.
    void pump();
    void planDue();
    void send(Arrival arrival);
    void record(const RequestResult &result);
    void startMeasuring();

    const LoadSettings &m_settings;
    Clock m_clock = Clock::system();
    RequestPlanner m_planner;
    AnswerChecker m_checker;
    LoadSummary m_summary;
    SoupSession *m_session = nullptr;
    GMainLoop *m_loop = nullptr;
    /// Fires when the next request of an open loop is due.
    PreciseTimer m_dueTimer {[this] {
        pump();
    }};
    std::deque<Arrival> m_arrivals;
    std::uint64_t m_planned = 0;
    std::uint64_t m_ended = 0;
    std::uint32_t m_inFlight = 0;
    TimePoint m_startedAt;
    TimePoint m_measuredFrom;
    Duration m_processorTimeBefore {0};
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/RouteRules.h>
#include <LibRequest/AdmissionQueue.h>
#include <LibRequest/GateInput.h>
#include <LibRequest/GateOutput.h>
#include <LibRequest/RequestCounts.h>
#include <LibRequest/ServiceTimes.h>
#include <LibRequest/TransferForecast.h>
#include <LibRouting/CrashSuspects.h>
#include <LibWire/LoadReport.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Fuchsiastep {

/// The only way to the upstream beside this proxy. It keeps the limits of the upstream, sheds what will not run
/// in time before the upstream is touched, and so knows what did not run.
class UpstreamGate
{
public:
    struct Settings
    {
        /// Places in the queue for each slot.
        std::uint32_t queuePlacesPerSlot = 4;
        Duration maximumQueueTime = std::chrono::milliseconds(500);
        /// Isolated requests that wait at once. Each stops all other work for its run.
        std::size_t maximumIsolated = 2;
        /// A longer body is large, and travels in parts of this many bytes that are paced.
        std::size_t partBytes = 8ULL * 1024;
        ServiceTimes::Settings serviceTimes;
        /// Failures within this time before UpstreamCrashed belong to the crash.
        Duration crashWindow = std::chrono::milliseconds(500);
        /// Finished request ids that are remembered to drop repeated frames.
        std::size_t rememberedRequests = 1024;
    };

    UpstreamGate(const Settings &settings, CrashSuspects &suspects, const Clock &clock);

    std::vector<GateOutput> handle(GateInput input);
    /// Drops queued requests whose time is over and aborts runs past their deadline.
    std::vector<GateOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

    LoadReport load() const;
    const RequestCounts &counts() const;
    /// Requests without an outcome yet.
    std::size_t inFlight() const;
    /// Places on the upstream that are taken.
    std::uint32_t running() const;
    /// Requests that wait for a claim or a slot.
    std::size_t waiting() const;
    bool isDraining() const;

private:
    enum class Stage {
        Claiming,
        Queued,
        Running,
    };
    struct Entry
    {
        std::uint64_t connectionId = 0;
        RequestFrame frame;
        Stage stage = Stage::Queued;
        RequestPriority priority = RequestPriority::Normal;
        TimePoint arrivedAt;
        TimePoint startedAt;
        TimePoint deadline;
        /// The key of the caller is not certain to be valid afterwards.
        std::optional<TimePoint> authorizedUntil;
        /// When the answer loses use for the caller; the deadline where the request names no target.
        TimePoint dueAt;
        /// Expected time on the upstream, as it was when the request was queued.
        Duration service {0};
        /// Expected size of a large answer that leaves the instance; 0 for another.
        double answerBytes = 0;
        /// When advance() looks at the entry.
        std::optional<TimePoint> wakeAt;
        bool hasClaim = false;
        bool isIsolated = false;
        /// As the upstream had announced it when the run started; it may have left before it answers.
        bool doRefusalsMeanNotRun = false;
        bool isAborted = false;
        /// The outcome is told or nobody waits for it; only the run remains.
        bool isSettled = false;
        std::uint64_t fingerprint = 0;
    };
    using RequestKey = std::pair<std::uint64_t, std::uint64_t>;

    void apply(const UpstreamAnnounced &announced);
    void apply(const UpstreamLost &lost);
    void apply(const UpstreamLoadReported &reported);
    void apply(const TransferBacklog &backlog);
    void apply(const PeerRequest &request);
    void apply(const PeerCancel &cancel);
    void apply(const PeerDisconnected &disconnected);
    void apply(UpstreamAnswer &answer);
    void apply(const UpstreamFailed &failed);
    void apply(const UpstreamCrashed &crashed);
    void apply(const DrainRequested &drain);
    void apply(const ClaimSettled &settled);
    void apply(const FreezeNoticed &freeze);
    void apply(const FreezeRecovered &recovered);

    /// What a crash that ends \a runs tells about the requests.
    CrashReport crashReport(const std::vector<LocalId> &runs) const;
    std::optional<Error> refusal(const Entry &entry);
    bool makePlaceFor(const Entry &entry);
    std::uint32_t capacity() const;
    Duration expectedWait(const Entry &entry) const;
    std::optional<Error> refusalToQueue(const Entry &entry);
    /// Time before the answer is due that a queued request keeps for its run.
    Duration reservedTime(const Entry &entry) const;
    static AdmissionQueue::Entry queueEntry(LocalId localId, const Entry &entry);
    void enqueue(LocalId localId, Entry &entry);
    void startWaiting();
    std::optional<LocalId> takeNext();
    void start(LocalId localId);
    void expire(LocalId localId);
    void cancel(LocalId localId);
    void abort(LocalId localId, Entry &entry);
    void releaseWaiting(ErrorCode code, const std::string &detail);
    /// Ends the isolated requests that wait and are held off now.
    void releaseHeldOff();
    void settleClaimed(LocalId localId, Entry &entry, const ClaimSettled &settled);
    void answer(Entry &entry, AnswerFrame frame);
    void answerWithout(Entry &entry, RequestOutcome outcome, ErrorCode code, std::string detail);
    /// Ends a request that never reached the upstream.
    void dropNotRun(LocalId localId, ErrorCode code, std::string detail);
    void finishRun(LocalId localId);
    void setWake(LocalId localId, Entry &entry, std::optional<TimePoint> at);
    void removeFromQueue(LocalId localId, const Entry &entry);
    void erase(LocalId localId);
    std::vector<GateOutput> finishStep();

    Settings m_settings;
    CrashSuspects &m_suspects;
    const Clock &m_clock;

    std::optional<UpstreamAnnounced> m_upstream;
    std::uint32_t m_reportedPermille = 0;
    bool m_isDraining = false;
    bool m_isDrainReported = false;
    bool m_isFrozen = false;

    LocalId m_nextLocalId = 1;
    std::unordered_map<LocalId, Entry> m_entries;
    std::map<RequestKey, LocalId> m_byRequest;
    std::deque<RequestKey> m_finishedOrder;
    std::set<RequestKey> m_finished;
    AdmissionQueue m_queue;
    std::deque<LocalId> m_isolatedQueue;
    std::set<std::pair<TimePoint, LocalId>> m_wakes;
    std::uint32_t m_running = 0;
    std::size_t m_claiming = 0;
    std::size_t m_unsettled = 0;
    std::optional<LocalId> m_isolatedRun;
    /// Runs since the last isolated one; others get a turn between two isolated runs.
    std::uint32_t m_runsSinceIsolated = 0;
    bool m_hasRunIsolated = false;
    ServiceTimes m_serviceTimes;
    TransferForecast m_transfers;
    struct Failure
    {
        TimePoint at;
        std::uint64_t fingerprint;
        bool wasIsolated;
    };
    std::deque<Failure> m_recentFailures;
    RequestCounts m_counts;
    std::vector<GateOutput> m_outputs;
};

} // namespace Fuchsiastep

#pragma once

#include <LibRequest/AnswerAssembly.h>
#include <LibRequest/AnswerSizes.h>
#include <LibRequest/CoordinatorInput.h>
#include <LibRequest/CoordinatorOutput.h>
#include <LibRequest/RequestCounts.h>
#include <LibRouting/LibRouting.h>

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fuchsiastep {

/// The caller side of every request: chooses upstreams, retries what may be retried and ends each request in
/// exactly one outcome.
class RequestCoordinator
{
public:
    struct Settings
    {
        std::size_t maximumInFlight = 10000;
        /// Request bodies and answers that are kept at once, in bytes. Beyond it the try with the largest part of an answer
        /// ends.
        std::uint64_t maximumBufferedBytes = 64ULL * 1024 * 1024;
        /// A request travels in one frame of at most 1 MiB together with its headers.
        std::size_t maximumRequestBytes = 1024ULL * 1024;
        /// Path and header fields; the rest of a frame has room for them beside a body of maximumRequestBytes.
        std::size_t maximumRequestHeadBytes = 1008ULL * 1024;
        std::uint64_t maximumAnswerBytes = 16ULL * 1024 * 1024;
        /// The upstream side gets this much less time, so that its word on a queued request arrives in time.
        Duration answerMargin = std::chrono::milliseconds(5);
        /// Proxies that a request of a route with a target is offered to. Most offers after the first are declined within
        /// milliseconds, and each tells how loaded the upstream is.
        std::size_t maximumOffers = 6;
        /// Offers that name the longest acceptable wait; later ones take whatever place there is.
        std::size_t boundedOffers = 3;
        /// Bounds of the time after which a caller that was turned away is told to come back. The lower one is about a
        /// service time, so that returning callers do not poll; the upper one keeps short overloads short.
        Duration shortestRetryAfter = std::chrono::milliseconds(100);
        Duration longestRetryAfter = std::chrono::seconds(1);
    };

    RequestCoordinator(Settings settings, RoutingState &routing, UpstreamSelector &selector, const Clock &clock);

    std::vector<CoordinatorOutput> handle(const CoordinatorInput &input);
    /// Ends requests whose deadline has passed.
    std::vector<CoordinatorOutput> advance();
    std::optional<TimePoint> nextDeadline() const;
    /// Tells on which connection a SendRequest went out. The end of another connection to the same proxy, which may be
    /// told later, does not concern it.
    void noteConnection(std::uint64_t requestId, std::uint64_t connectionId);

    const RequestCounts &counts() const;
    std::size_t inFlight() const;
    std::uint64_t bufferedBytes() const;

private:
    /// One request frame on its way.
    struct Try
    {
        std::uint64_t requestId = 0;
        std::shared_ptr<const Endpoint> endpoint;
        bool isIsolated = false;
        AnswerAssembly assembly;
        std::optional<std::uint64_t> connectionId;
        /// Until the target of the request, when the frame was sent.
        Duration targetLeft {0};
    };
    struct Pending
    {
        CallerRequest request;
        TimePoint deadline;
        bool isRepeatable = false;
        /// A try ended without certainty, so that "not run" can no longer be told.
        bool mayHaveRun = false;
        /// When the answer loses use for the caller.
        std::optional<TimePoint> targetAt;
        std::vector<std::string> triedUpstreamIds;
        /// Requests that reached an upstream, or may have.
        std::uint32_t arrivals = 0;
        std::uint32_t offers = 0;
        std::string lastUpstreamId;
        /// The last offer was for a run in isolation.
        bool wasIsolated = false;
        /// The upstream's own failure, which is told if no other upstream does better.
        std::optional<AnswerFrame> failedAnswer;
        ErrorCode lastCode = ErrorCode::None;
        std::string lastDetail;
        std::optional<std::uint64_t> fingerprint;
        std::optional<Try> current;
    };

    void apply(const CallerRequest &request);
    void apply(const CallerGone &gone);
    void apply(const PeerConnected &connected);
    void apply(const PeerAnswer &answer);
    void apply(const PeerConnectionLost &lost);
    void apply(const PeerConnectFailed &failed);
    void apply(const DrainRequested &drain);

    std::optional<Error> refusal(const CallerRequest &request, bool isRepeatable) const;
    void dispatch(CallerToken token);
    /// Upstreams that this request need not be offered to.
    std::vector<std::string> excludedUpstreamIds(const Pending &pending) const;
    Result<Placement> tryPlace(const Pending &pending, const std::vector<std::string> &excluded);
    /// The upstream for a request that has to run alone.
    Result<Placement> trialPlacement(Pending &pending, const std::vector<std::string> &excluded);
    Duration targetLeft(const Pending &pending) const;
    /// False where the request was held off or waits for another one like it.
    bool passSuspicion(CallerToken token, Pending &pending, bool &isIsolated);
    void send(CallerToken token, Pending &pending, const Placement &placement, bool isIsolated);
    RequestFrame requestFrame(const Pending &pending, const Placement &placement) const;
    void endAnswered(CallerToken token, Pending &pending);
    void endLargestAnswer();
    void endUnfinishedAnswer(CallerToken token, ErrorCode code, std::string detail);
    void endTry(CallerToken token, Pending &pending);
    void finishAnswered(CallerToken token, AnswerFrame answer);
    static void noteEndOfOffer(Pending &pending, RequestOutcome outcome, ErrorCode code);
    bool mayTryElsewhere(const Pending &pending) const;
    Duration retryAfter(const Pending &pending);
    void retryOrFinish(CallerToken token, Pending &pending, RequestOutcome outcome, ErrorCode code, std::string detail);
    bool mayRetry(const Pending &pending, RequestOutcome outcome, ErrorCode code) const;
    void finishWithout(CallerToken token, RequestOutcome outcome, ErrorCode code, std::string detail);
    void finish(CallerToken token, CallerAnswer answer);
    void refuse(const CallerRequest &request, const Error &error);
    void recordEvidence(const Pending &pending, const AnswerFrame &answer);
    std::uint64_t fingerprintOf(Pending &pending);
    void wakeWaiting();
    /// Tries that were sent to the proxy on this connection, or on any where nothing is given.
    std::vector<std::uint64_t> triesOn(const std::string &proxyId, std::optional<std::uint64_t> connectionId) const;
    void forgetConnection(const std::string &proxyId, std::optional<std::uint64_t> connectionId);
    std::vector<CoordinatorOutput> takeOutputs();

    Settings m_settings;
    RoutingState &m_routing;
    UpstreamSelector &m_selector;
    const Clock &m_clock;

    std::uint64_t m_nextRequestId = 1;
    std::unordered_map<CallerToken, Pending> m_pending;
    /// Tries in flight by request id.
    std::unordered_map<std::uint64_t, CallerToken> m_tries;
    std::unordered_map<std::string, std::set<std::uint64_t>> m_triesByProxy;
    std::set<std::pair<TimePoint, CallerToken>> m_deadlines;
    /// End of the drain; no request lasts longer.
    TimePoint m_latestDeadline = TimePoint::max();
    /// Current connection and incarnation by proxy.
    std::unordered_map<std::string, std::pair<std::uint64_t, std::uint64_t>> m_connections;
    /// The request that runs in isolation, by fingerprint, and those like it that wait for its end.
    std::unordered_map<std::uint64_t, CallerToken> m_trials;
    std::unordered_map<std::uint64_t, std::deque<CallerToken>> m_waiting;
    std::vector<std::uint64_t> m_endedTrials;
    AnswerSizes m_answerSizes;
    std::uint64_t m_bufferedBytes = 0;
    RequestCounts m_counts;
    std::vector<CoordinatorOutput> m_outputs;
};

} // namespace Fuchsiastep

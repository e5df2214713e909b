// Cost of one request in both proxies, of its frames, and the transactions of claims.

#include "AllocationCounter.h"
#include "BenchmarkFleet.h"

#include <LibRequest/LibRequest.h>
#include <LibWire/FrameCodec.h>

#include <benchmark/benchmark.h>

#include <cmath>
#include <queue>

using namespace Fuchsiastep;
using namespace Fuchsiastep::Benchmarks;

namespace {

RequestFrame makeRequest(std::size_t bodyBytes)
{
    RequestFrame frame;
    frame.requestId = 77;
    frame.service = serviceName(3);
    frame.upstreamId = upstreamId(3);
    frame.caller = "depot-tablet";
    frame.method = "POST";
    frame.path = "/orders/17?line=4";
    frame.headers = {{"accept", "application/json"}, {"content-type", "application/json"}, {"x-trace", "4bf92f3577b34da6"}};
    frame.isRepeatable = true;
    frame.timeLeftMs = 5000;
    frame.body.assign(bodyBytes, 'b');
    return frame;
}

void bodySizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Arg(256)->Arg(4'096)->Arg(65'536)->MinTime(0.2);
}

void requestFrameEncode(benchmark::State &state)
{
    const Frame frame = makeRequest(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(encodeFrame(frame));
    }
    state.counters["bytes"] = static_cast<double>(encodeFrame(frame).size());
}
BENCHMARK(requestFrameEncode)->Name("RequestFrameEncode")->Apply(bodySizes);

void requestFrameDecode(benchmark::State &state)
{
    const auto bytes = encodeFrame(makeRequest(static_cast<std::size_t>(state.range(0))));
    for (auto _ : state) {
        benchmark::DoNotOptimize(tryDecodeFrame(std::string_view(bytes).substr(FrameHeaderBytes)));
    }
}
BENCHMARK(requestFrameDecode)->Name("RequestFrameDecode")->Apply(bodySizes);

/// A caller side and an upstream side that hand frames to each other without sockets and without the codec.
void requestThroughBoth(benchmark::State &state)
{
    const auto clock = Clock::manual();
    Random random(1);
    RoutingState routing({}, clock, random);
    UpstreamSelector selector({.dataCentre = dataCentreName(0), .region = "region-0"}, routing, random);
    RequestCoordinator coordinator({}, routing, selector, clock);
    CrashSuspects suspects({}, clock);
    UpstreamGate gate({}, suspects, clock);
    const auto endpoint = std::make_shared<Endpoint>(makeEndpoint(0, 1));
    gate.handle(UpstreamAnnounced {endpoint->upstreamId, endpoint->service, 6, 130, true});
    coordinator.handle(PeerConnected {endpoint->proxyId, 1, endpoint->incarnation});
    auto route = std::make_shared<Route>();
    auto rules = std::make_shared<Selector>(makeSelector(0, 0, 1));
    rules->rules.repeatableMethods = {"GET"};
    route->selector = rules;
    route->endpoints.push_back(endpoint);
    const std::string body(static_cast<std::size_t>(state.range(0)), 'b');
    std::uint64_t answered = 0;
    CallerToken token = 0;
    for (auto _ : state) {
        CallerRequest request {.token = ++token,
            .caller = "depot-tablet",
            .service = endpoint->service,
            .method = "GET",
            .path = "/orders/17",
            .body = body,
            .route = route};
        for (const auto &sent : coordinator.handle(request)) {
            for (const auto &started : gate.handle(PeerRequest {1, std::get<SendRequest>(sent).frame})) {
                const auto localId = std::get<StartUpstreamRequest>(started).localId;
                for (const auto &ended : gate.handle(UpstreamAnswer {localId, 200, {{"content-type", "application/json"}}, body})) {
                    const auto &answer = std::get<SendAnswer>(ended);
                    std::vector<CoordinatorOutput> outputs =
                        coordinator.handle(PeerAnswer {endpoint->proxyId, 1, endpoint->incarnation, answer.frame});
                    for (const auto &part : answer.parts) {
                        outputs = coordinator.handle(PeerAnswer {endpoint->proxyId, 1, endpoint->incarnation, part});
                    }
                    for (const auto &output : outputs) {
                        answered += std::get<CallerAnswer>(output).outcome == RequestOutcome::Answered;
                    }
                }
            }
        }
    }
    if (answered != token) {
        state.SkipWithError("a request was not answered");
    }
}
BENCHMARK(requestThroughBoth)->Name("RequestThroughBoth")->Apply(bodySizes);

/// Claims of one proxy with a platform that commits each transaction after a fixed time.
class ClaimRun
{
public:
    /// Time of the platform for one transaction, and of the upstream for one request.
    static constexpr Duration PlatformTime = std::chrono::milliseconds(4);
    static constexpr Duration RunTime = std::chrono::milliseconds(20);

    void runClaims(std::size_t count, double claimsPerSecond)
    {
        TimePoint arrival = m_clock.now();
        for (std::size_t index = 0; index < count; ++index) {
            arrival += Duration(static_cast<std::int64_t>(-std::log(1 - m_random.unit()) / claimsPerSecond * 1e6));
            m_events.push({arrival,
                ClaimWanted {++m_nextId, "order-desk", "key-" + std::to_string(m_nextId), {}, arrival + std::chrono::seconds(5)}});
        }
        while (!m_events.empty() || m_ledger.nextDeadline()) {
            step();
        }
    }

    std::uint64_t transactions() const
    {
        return m_transactions;
    }
    std::uint64_t reads() const
    {
        return m_reads;
    }
    std::uint64_t owned() const
    {
        return m_owned;
    }

private:
    struct Event
    {
        TimePoint at;
        ClaimInput input;
        bool operator<(const Event &other) const
        {
            return other.at < at;
        }
    };

    void step()
    {
        const auto deadline = m_ledger.nextDeadline();
        const bool isEventNext = !m_events.empty() && (!deadline || m_events.top().at <= *deadline);
        const auto at = isEventNext ? m_events.top().at : *deadline;
        m_clock.advance(std::max(Duration(0), at - m_clock.now()));
        if (!isEventNext) {
            take(m_ledger.advance());
            return;
        }
        const auto input = m_events.top().input;
        m_events.pop();
        take(m_ledger.handle(input));
    }

    void take(const std::vector<ClaimOutput> &outputs)
    {
        for (const auto &output : outputs) {
            std::visit([this](const auto &content) { accept(content); }, output);
        }
    }

    void accept(const PlatformCall &call)
    {
        if (!isWrite(call.request)) {
            ++m_reads;
            return;
        }
        ++m_transactions;
        m_events.push({m_clock.now() + PlatformTime, PlatformReply {call.id, Committed {++m_revision}}});
    }

    void accept(const ClaimSettled &settled)
    {
        m_owned += settled.verdict == ClaimVerdict::Owned;
        m_events.push(
            {m_clock.now() + RunTime, ClaimFinished {settled.localId, RequestOutcome::Answered, ErrorCode::None, 200, {}, "accepted"}});
    }

    Clock m_clock = Clock::manual();
    Random m_random {1};
    ClaimLedger m_ledger {{.proxyId = proxyId(0), .incarnation = 1}, m_clock, m_random};
    std::priority_queue<Event> m_events;
    LocalId m_nextId = 0;
    std::uint64_t m_transactions = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_owned = 0;
};

/// The argument is the number of claims that arrive at one proxy in a second.
void claimTransactions(benchmark::State &state)
{
    constexpr std::size_t Claims = 2'000;
    ClaimRun run;
    for (auto _ : state) {
        run.runClaims(Claims, static_cast<double>(state.range(0)));
    }
    if (run.owned() != Claims) {
        state.SkipWithError("a claim was not owned");
    }
    state.counters["transactionsPerClaim"] = static_cast<double>(run.transactions()) / Claims;
    state.counters["readsPerClaim"] = static_cast<double>(run.reads()) / Claims;
}
BENCHMARK(claimTransactions)
    ->Name("ClaimTransactions")
    ->Arg(1)
    ->Arg(10)
    ->Arg(73)
    ->Arg(1'000)
    ->Arg(5'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

// Cost of choosing an upstream. The argument is the number of endpoints of the service.

#include "AllocationCounter.h"
#include "BenchmarkFleet.h"

#include <LibRouting/LibRouting.h>

#include <benchmark/benchmark.h>

using namespace Fuchsiastep;
using namespace Fuchsiastep::Benchmarks;

namespace {

void upstreamSelect(benchmark::State &state)
{
    const auto clock = Clock::manual();
    Random random(1);
    RoutingState routing({}, clock, random);
    UpstreamSelector selector({.dataCentre = dataCentreName(0), .region = "region-0"}, routing, random);
    auto route = std::make_shared<Route>();
    route->selector = std::make_shared<Selector>(makeSelector(0, 0, 1));
    for (std::size_t index = 0; index < static_cast<std::size_t>(state.range(0)); ++index) {
        route->endpoints.push_back(std::make_shared<Endpoint>(makeEndpoint(index, 1)));
    }
    const std::shared_ptr<const Route> constRoute = route;
    std::size_t probes = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(selector.trySelect(constRoute, {}));
        probes = std::max(probes, selector.lastProbeCount());
    }
    state.counters["mostProbes"] = static_cast<double>(probes);
}
BENCHMARK(upstreamSelect)->Name("UpstreamSelect")->Arg(10)->Arg(100)->Arg(1'000)->MinTime(0.2);

/// A route with a target latency, and a load report of each upstream.
void upstreamPlace(benchmark::State &state)
{
    const auto clock = Clock::manual();
    Random random(1);
    RoutingState routing({}, clock, random);
    UpstreamSelector selector({.dataCentre = dataCentreName(0), .region = "region-0", .proxyId = "caller"}, routing, random);
    auto route = std::make_shared<Route>();
    Selector rules = makeSelector(0, 0, 1);
    rules.rules.locality = LocalityPreference::Fastest;
    rules.rules.targetLatency = std::chrono::milliseconds(800);
    route->selector = std::make_shared<Selector>(rules);
    for (std::size_t index = 0; index < static_cast<std::size_t>(state.range(0)); ++index) {
        route->endpoints.push_back(std::make_shared<Endpoint>(makeEndpoint(index, 1)));
        LoadReport report {4, static_cast<std::uint32_t>(index % 5), 0, 0};
        report.serviceMs = 200 + static_cast<std::uint32_t>(index % 50);
        routing.recordReport(route->endpoints.back()->upstreamId, report);
    }
    const std::shared_ptr<const Route> constRoute = route;
    for (auto _ : state) {
        benchmark::DoNotOptimize(selector.tryPlace(constRoute, {rules.rules.targetLatency, 600, {}}));
    }
}
BENCHMARK(upstreamPlace)->Name("UpstreamPlace")->Arg(10)->Arg(47)->Arg(148)->Arg(1'000)->MinTime(0.2);

} // namespace

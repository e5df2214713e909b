// Cost of configurations and views by fleet size. The argument is the number of upstreams.

#include "AllocationCounter.h"
#include "BenchmarkFleet.h"

#include <LibMembership/MembershipTable.h>

#include <benchmark/benchmark.h>

using namespace Fuchsiastep;
using namespace Fuchsiastep::Benchmarks;

namespace {

void fleetSizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Arg(1'000)->Arg(8'000)->Arg(26'000);
}

std::size_t sizeOf(const benchmark::State &state)
{
    return static_cast<std::size_t>(state.range(0));
}

View::Pointer makeView(std::size_t upstreams)
{
    return View::empty()->withConfiguration(makeConfiguration(upstreams))->withEndpoints(makeEndpoints(upstreams), {});
}

void configurationApply(benchmark::State &state)
{
    const auto base = makeConfiguration(sizeOf(state));
    const auto delta = makeChange(*base, 7, sizeOf(state));
    for (auto _ : state) {
        benchmark::DoNotOptimize(base->tryApply(delta));
    }
}
BENCHMARK(configurationApply)->Name("ConfigurationApply")->Apply(fleetSizes)->MinTime(0.2);

void deltaDecode(benchmark::State &state)
{
    const auto base = makeConfiguration(sizeOf(state));
    const auto bytes = makeChange(*base, 7, sizeOf(state)).encode();
    for (auto _ : state) {
        benchmark::DoNotOptimize(ConfigurationDelta::tryDecode(bytes));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(deltaDecode)->Name("DeltaDecode")->Apply(fleetSizes)->MinTime(0.1);

void viewWithConfiguration(benchmark::State &state)
{
    const auto view = makeView(sizeOf(state));
    const auto next = expectValue(view->configuration()->tryApply(makeChange(*view->configuration(), 7, sizeOf(state))));
    for (auto _ : state) {
        benchmark::DoNotOptimize(view->withConfiguration(next));
    }
}
BENCHMARK(viewWithConfiguration)->Name("ViewWithConfiguration")->Apply(fleetSizes)->MinTime(0.2);

void viewWithEndpoint(benchmark::State &state)
{
    const auto view = makeView(sizeOf(state));
    auto endpoint = makeEndpoint(11, sizeOf(state));
    endpoint.isDraining = true;
    for (auto _ : state) {
        benchmark::DoNotOptimize(view->withEndpoints({endpoint}, {}));
    }
}
BENCHMARK(viewWithEndpoint)->Name("ViewWithEndpoint")->Apply(fleetSizes)->MinTime(0.2);

void viewResolve(benchmark::State &state)
{
    const auto view = makeView(sizeOf(state));
    const auto service = serviceName(3);
    for (auto _ : state) {
        benchmark::DoNotOptimize(view->tryResolve("service-1", service, "GET", "/orders/17"));
    }
}
BENCHMARK(viewResolve)->Name("ViewResolve")->Apply(fleetSizes)->MinTime(0.2);

void snapshotEncode(benchmark::State &state)
{
    const auto configuration = makeConfiguration(sizeOf(state));
    for (auto _ : state) {
        benchmark::DoNotOptimize(configuration->encode());
    }
    state.counters["bytes"] = static_cast<double>(configuration->encode().size());
}
BENCHMARK(snapshotEncode)->Name("SnapshotEncode")->Apply(fleetSizes)->MinTime(0.2);

void snapshotDecode(benchmark::State &state)
{
    const auto configuration = makeConfiguration(sizeOf(state));
    const auto bytes = configuration->encode();
    for (auto _ : state) {
        benchmark::DoNotOptimize(Configuration::tryDecode(bytes, configuration->version(), configuration->digest()));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(snapshotDecode)->Name("SnapshotDecode")->Apply(fleetSizes)->MinTime(0.2);

// A decoded configuration is what a proxy holds: objects that came over the wire and share nothing with a sender.
void configurationMemory(benchmark::State &state)
{
    const auto source = makeConfiguration(sizeOf(state));
    const auto bytes = source->encode();
    std::int64_t held = 0;
    for (auto _ : state) {
        const auto before = liveHeapBytes();
        const auto decoded = expectValue(Configuration::tryDecode(bytes, source->version(), source->digest()));
        held = liveHeapBytes() - before;
    }
    state.counters["heapBytes"] = static_cast<double>(held);
    state.counters["objects"] = static_cast<double>(source->objectCount());
}
BENCHMARK(configurationMemory)->Name("ConfigurationMemory")->Apply(fleetSizes)->Iterations(1);

void viewMemory(benchmark::State &state)
{
    const auto configuration = makeConfiguration(sizeOf(state));
    std::int64_t held = 0;
    for (auto _ : state) {
        const auto before = liveHeapBytes();
        View::Pointer view;
        {
            const auto endpoints = makeEndpoints(sizeOf(state));
            view = View::empty()->withConfiguration(configuration)->withEndpoints(endpoints, {});
        }
        held = liveHeapBytes() - before;
    }
    state.counters["heapBytes"] = static_cast<double>(held);
}
BENCHMARK(viewMemory)->Name("ViewMemory")->Apply(fleetSizes)->Iterations(1);

void membershipMemory(benchmark::State &state)
{
    const auto clock = Clock::manual();
    std::int64_t held = 0;
    for (auto _ : state) {
        const auto before = liveHeapBytes();
        MembershipTable table(makeMember(0, sizeOf(state)), clock);
        for (std::size_t index = 1; index < sizeOf(state); ++index) {
            table.merge(makeMember(index, sizeOf(state)));
        }
        held = liveHeapBytes() - before;
    }
    state.counters["heapBytes"] = static_cast<double>(held);
}
BENCHMARK(membershipMemory)->Name("MembershipMemory")->Apply(fleetSizes)->Iterations(1);

} // namespace

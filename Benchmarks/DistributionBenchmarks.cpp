// Frames and bytes of one configuration change in one data centre, and the processor time of one delegate.
// The argument is the number of members of the data centre.

#include "AllocationCounter.h"
#include "BenchmarkFleet.h"

#include <LibMembership/LibMembership.h>
#include <LibMembership/RendezvousHash.h>
#include <LibMembership/RingRange.h>
#include <LibWire/FrameCodec.h>

#include <benchmark/benchmark.h>

#include <deque>
#include <map>

using namespace Fuchsiastep;
using namespace Fuchsiastep::Benchmarks;

namespace {

constexpr std::size_t DeclaredUpstreams = 1'000;
/// TCP and IPv4 headers of a segment in bytes; each frame counts as one segment.
constexpr std::size_t SegmentHeaderBytes = 52;

/// One proxy of the data centre. Its table has the members of the ranges that it was given, because the split
/// of a range depends on these only, and whole tables of every member would not fit in memory.
struct Member
{
    Member(std::size_t index, const Clock &clock, Random &random, const Configuration::Pointer &base)
        : table(makeMember(index, DeclaredUpstreams, 1), clock), distributor({}, table, holder, clock, random)
    {
        expectValue(holder.tryAdopt(base));
    }

    MembershipTable table;
    ConfigurationHolder holder;
    Distributor distributor;
    std::uint64_t sentFrames = 0;
    std::uint64_t sentBytes = 0;
};

/// Delivers every frame at once and in order.
class LosslessDataCentre
{
public:
    explicit LosslessDataCentre(std::size_t members) : m_base(makeConfiguration(DeclaredUpstreams))
    {
        for (std::size_t index = 0; index < members; ++index) {
            m_members.emplace(proxyId(index), std::make_unique<Member>(index, m_clock, m_random, m_base));
            m_indexes.emplace(proxyId(index), index);
            m_positions.emplace(ringPosition(proxyId(index)), index);
        }
        MembershipTable whole(makeMember(0, DeclaredUpstreams, 1), m_clock);
        for (std::size_t index = 1; index < members; ++index) {
            whole.merge(makeMember(index, DeclaredUpstreams, 1));
        }
        m_readerId = rendezvousMembers(whole, dataCentreName(0), ReaderRoleName, 1).front()->proxyId;
        for (std::size_t index = 0; index < members; ++index) {
            member(m_readerId).table.merge(makeMember(index, DeclaredUpstreams, 1));
        }
    }

    void distribute()
    {
        const auto delta = makeChange(*m_base, 3, DeclaredUpstreams);
        const auto target = expectValue(m_base->tryApply(delta));
        take(m_readerId, member(m_readerId).distributor.handle(ConfigurationFound {delta, target}));
        run();
        for (int step = 0; step < 20; ++step) {
            m_clock.advance(std::chrono::milliseconds(10));
            take(m_readerId, member(m_readerId).distributor.advance());
            run();
        }
    }

    std::size_t holders() const
    {
        std::size_t count = 0;
        for (const auto &[id, each] : m_members) {
            count += each->holder.current()->version() > m_base->version();
        }
        return count;
    }
    const std::map<std::string, std::unique_ptr<Member>> &members() const
    {
        return m_members;
    }
    std::uint64_t deepestDelivery() const
    {
        return m_deepest;
    }

private:
    struct Delivery
    {
        std::string from;
        std::string to;
        Frame frame;
        std::uint64_t depth = 0;
    };

    Member &member(const std::string &id)
    {
        return *m_members.at(id);
    }

    void take(const std::string &from, const std::vector<DistributorOutput> &outputs, std::uint64_t depth = 0)
    {
        for (const auto &output : outputs) {
            const auto *send = std::get_if<SendFrame>(&output);
            if (!send) {
                continue;
            }
            ++member(from).sentFrames;
            member(from).sentBytes += encodeFrame(send->frame).size() + SegmentHeaderBytes;
            m_queue.push_back({from, send->peer, send->frame, depth + 1});
        }
    }

    void run()
    {
        while (!m_queue.empty()) {
            const auto delivery = std::move(m_queue.front());
            m_queue.pop_front();
            auto &receiver = member(delivery.to);
            receiver.table.merge(makeMember(m_indexes.at(delivery.from), DeclaredUpstreams, 1));
            if (const auto *push = std::get_if<ConfigurationPushFrame>(&delivery.frame)) {
                learnRange(receiver, {push->rangeBegin, push->rangeEnd});
                m_deepest = std::max(m_deepest, delivery.depth);
            }
            take(delivery.to, receiver.distributor.handle(PeerFrame {delivery.from, delivery.frame}), delivery.depth);
        }
    }

    void learnRange(Member &receiver, const RingRange &range) const
    {
        if (range.isEmpty()) {
            return;
        }
        for (auto it = m_positions.lower_bound(range.begin); it != m_positions.end() && it->first <= range.end; ++it) {
            receiver.table.merge(makeMember(it->second, DeclaredUpstreams, 1));
        }
    }

    Clock m_clock = Clock::manual();
    Random m_random {1};
    Configuration::Pointer m_base;
    std::map<std::string, std::unique_ptr<Member>> m_members;
    std::map<std::string, std::size_t> m_indexes;
    std::multimap<std::uint64_t, std::size_t> m_positions;
    std::string m_readerId;
    std::deque<Delivery> m_queue;
    std::uint64_t m_deepest = 0;
};

void distributeChange(benchmark::State &state)
{
    const auto members = static_cast<std::size_t>(state.range(0));
    LosslessDataCentre dataCentre(members);
    for (auto _ : state) {
        dataCentre.distribute();
    }
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
    std::uint64_t mostBytes = 0;
    for (const auto &[id, member] : dataCentre.members()) {
        frames += member->sentFrames;
        bytes += member->sentBytes;
        mostBytes = std::max(mostBytes, member->sentBytes);
    }
    if (dataCentre.holders() != members) {
        state.SkipWithError("not every member holds the change");
    }
    state.counters["framesPerMember"] = static_cast<double>(frames) / static_cast<double>(members);
    state.counters["bytesPerMember"] = static_cast<double>(bytes) / static_cast<double>(members);
    state.counters["mostBytesOfOneMember"] = static_cast<double>(mostBytes);
    state.counters["deepestDelivery"] = static_cast<double>(dataCentre.deepestDelivery());
}
BENCHMARK(distributeChange)->Name("DistributeChange")->Arg(100)->Arg(800)->Arg(3'250)->Iterations(1)->Unit(benchmark::kMillisecond);

/// Arguments: members, and whether the push names the whole ring (1) or a range without other members (0). The
/// timed section has the codec of the frames, but no socket.
void delegatePush(benchmark::State &state)
{
    const auto members = static_cast<std::size_t>(state.range(0));
    const bool isWholeRing = state.range(1) == 1;
    const auto clock = Clock::manual();
    Random random(1);
    Member delegate(0, clock, random, makeConfiguration(DeclaredUpstreams));
    for (std::size_t index = 1; index < members; ++index) {
        delegate.table.merge(makeMember(index, DeclaredUpstreams, 1));
    }
    const auto position = ringPosition(proxyId(0));
    std::size_t step = 0;
    for (auto _ : state) {
        state.PauseTiming();
        auto push = pushFrame(makeChange(*delegate.holder.current(), ++step, DeclaredUpstreams));
        push.rangeBegin = isWholeRing ? 0 : position;
        push.rangeEnd = isWholeRing ? ~0ULL : position;
        const auto bytes = encodeFrame(push);
        state.ResumeTiming();
        const auto frame = expectValue(tryDecodeFrame(std::string_view(bytes).substr(FrameHeaderBytes)));
        for (const auto &output : delegate.distributor.handle(PeerFrame {proxyId(1), frame})) {
            if (const auto *send = std::get_if<SendFrame>(&output)) {
                benchmark::DoNotOptimize(encodeFrame(send->frame));
            }
        }
    }
}
BENCHMARK(delegatePush)->Name("DelegatePush")->ArgsProduct({{100, 800, 3'250}, {0, 1}})->Iterations(200);

} // namespace

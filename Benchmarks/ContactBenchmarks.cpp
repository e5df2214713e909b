// Joining, contact rows and the exchange of records between data centres. Frames, bytes and platform calls are counted.

#include "AllocationCounter.h"
#include "BenchmarkFleet.h"

#include <LibMembership/LibMembership.h>
#include <LibMembership/RendezvousHash.h>
#include <LibWire/FrameCodec.h>

#include <benchmark/benchmark.h>

#include <algorithm>

using namespace Fuchsiastep;
using namespace Fuchsiastep::Benchmarks;

namespace {

constexpr std::size_t TargetMembers = 26'000;

MembershipTable makeTable(std::size_t self, std::size_t members, const Clock &clock)
{
    MembershipTable table(makeMember(self, TargetMembers), clock);
    for (std::size_t index = 0; index < members; ++index) {
        table.merge(makeMember(index, TargetMembers));
    }
    return table;
}

/// A contact answers one joining member. Arguments: members of the fleet, and whether the joining member is of
/// another data centre (1) or of the contact's own (0).
void joinAnswer(benchmark::State &state)
{
    const auto members = static_cast<std::size_t>(state.range(0));
    const auto clock = Clock::manual();
    Random random(1);
    const auto table = makeTable(0, members, clock);
    const CrashSuspectSet suspects(clock);
    ContactKeeper keeper({}, table, suspects, clock, random);
    auto joiner = makeMember(TargetMembers + static_cast<std::size_t>(state.range(1)), TargetMembers);
    joiner.state = MemberState::Joining;
    const auto request = encodeMemberSync({MemberSyncKind::JoinRequest, {joiner}}).front();
    std::size_t bytes = 0;
    std::size_t frames = 0;
    for (auto _ : state) {
        bytes = 0;
        frames = 0;
        for (const auto &output : keeper.handle(PeerFrame {joiner.proxyId, MembershipSyncFrame {request, true}})) {
            if (const auto *send = std::get_if<SendFrame>(&output)) {
                bytes += encodeFrame(send->frame).size();
                ++frames;
            }
        }
    }
    if (frames == 0) {
        state.SkipWithError("the contact did not answer");
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["frames"] = static_cast<double>(frames);
}
BENCHMARK(joinAnswer)->Name("JoinAnswer")->ArgsProduct({{1'000, 8'000, 26'000}, {0, 1}})->MinTime(0.1)->Unit(benchmark::kMillisecond);

/// Plays the platform for the contact rows of the fleet and counts the calls.
struct ContactPlatform
{
    std::vector<Row> rows;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t joinRequests = 0;

    void run(ContactKeeper &keeper, const std::vector<ContactKeeperOutput> &outputs)
    {
        for (const auto &output : outputs) {
            joinRequests += std::holds_alternative<SendFrameToAddress>(output);
            if (const auto *call = std::get_if<PlatformCall>(&output)) {
                run(keeper, keeper.handle(PlatformReply {call->id, answer(call->request)}));
            }
        }
    }

    PlatformResponse answer(const PlatformRequest &request)
    {
        (isWrite(request) ? writes : reads) += 1;
        const auto *transaction = std::get_if<Transaction>(&request);
        if (!transaction) {
            return Rows {rows};
        }
        for (const auto &write : transaction->writes) {
            store(write);
        }
        return Committed {writes};
    }

    void store(const RowWrite &write)
    {
        std::erase_if(rows, [&](const Row &row) { return row.key == write.key; });
        rows.push_back({write.key, writes, write.value.value_or("")});
        std::sort(rows.begin(), rows.end(), [](const Row &left, const Row &right) { return left.key < right.key; });
    }
};

/// The argument is the number of data centres. One member of each keeps all contact rows of it, then one joins.
void joinRequests(benchmark::State &state)
{
    const auto dataCentres = static_cast<std::size_t>(state.range(0));
    ContactPlatform platform;
    std::uint64_t refreshWrites = 0;
    for (auto _ : state) {
        for (std::size_t index = 0; index < dataCentres; ++index) {
            auto clock = Clock::manual();
            Random random(1);
            MembershipTable table(makeMember(index, TargetMembers, dataCentres), clock);
            const CrashSuspectSet suspects(clock);
            ContactKeeper keeper({}, table, suspects, clock, random);
            // Past the first answer and one period, so that the rows of this data centre are there.
            for (int second = 0; second < 40; ++second) {
                platform.run(keeper, keeper.advance());
                clock.advance(std::chrono::seconds(1));
            }
        }
        refreshWrites = platform.writes;
        platform.joinRequests = 0;
        platform.reads = 0;
        auto clock = Clock::manual();
        Random random(2);
        auto self = makeMember(TargetMembers, TargetMembers, dataCentres);
        self.state = MemberState::Joining;
        MembershipTable table(self, clock);
        const CrashSuspectSet suspects(clock);
        ContactKeeper joiner({}, table, suspects, clock, random);
        // The first round of requests; nothing answers them, so that later rounds would only repeat it.
        for (int step = 0; step < 100 && platform.joinRequests == 0; ++step) {
            platform.run(joiner, joiner.advance());
            clock.advance(std::chrono::milliseconds(100));
        }
    }
    if (platform.joinRequests == 0) {
        state.SkipWithError("the joining member asked no contact");
    }
    state.counters["contactRows"] = static_cast<double>(platform.rows.size());
    state.counters["refreshWritesIn40Seconds"] = static_cast<double>(refreshWrites);
    state.counters["joinRequests"] = static_cast<double>(platform.joinRequests);
    state.counters["joinReads"] = static_cast<double>(platform.reads);
}
BENCHMARK(joinRequests)->Name("JoinRequests")->Arg(1)->Arg(4)->Arg(8)->Iterations(1);

/// Index of the member of the first data centre that is its first bridge.
std::size_t firstBridge(std::size_t members)
{
    const auto clock = Clock::manual();
    const auto table = makeTable(0, members, clock);
    const auto bridges = rendezvousMembers(table, dataCentreName(0), BridgeRoleName, 1);
    return std::stoul(bridges.front()->proxyId.substr(std::string_view("proxy-").size()));
}

/// One bridge whose exchanges are all answered with an empty list.
class AnsweredBridge
{
public:
    explicit AnsweredBridge(std::size_t members)
        : m_members(members), m_table(makeTable(firstBridge(members), members, m_clock)), m_sync({}, m_table, m_clock, m_random)
    { }

    void runSecond()
    {
        const auto end = m_clock.now() + std::chrono::seconds(1);
        while (m_clock.now() < end) {
            take(m_sync.advance());
            const auto deadline = m_sync.nextDeadline().value_or(end);
            m_clock.advance(std::clamp<Duration>(deadline - m_clock.now(), std::chrono::milliseconds(1), end - m_clock.now()));
        }
    }

    /// A record of the own data centre changes.
    void addNews()
    {
        auto record = makeMember(m_random.below(m_members / DataCentreCount) * DataCentreCount, TargetMembers);
        record.sequence = ++m_sequence;
        m_table.merge(record);
    }

    std::uint64_t sentBytes() const
    {
        return m_sentBytes;
    }
    std::uint64_t sentFrames() const
    {
        return m_sentFrames;
    }

private:
    void take(const std::vector<RemoteSyncOutput> &outputs)
    {
        for (const auto &output : outputs) {
            const auto *send = std::get_if<SendFrame>(&output);
            if (!send) {
                continue;
            }
            ++m_sentFrames;
            m_sentBytes += encodeFrame(send->frame).size() + SegmentHeaderBytes;
            const auto answer = encodeMemberSync({MemberSyncKind::ExchangeAnswer, {}}).front();
            take(m_sync.handle(PeerFrame {send->peer, MembershipSyncFrame {answer, false}}));
        }
    }

    /// TCP and IPv4 headers of a segment in bytes; each frame counts as one segment.
    static constexpr std::size_t SegmentHeaderBytes = 52;

    std::size_t m_members;
    Clock m_clock = Clock::manual();
    Random m_random {1};
    MembershipTable m_table;
    RemoteSync m_sync;
    std::uint64_t m_sequence = 10;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_sentFrames = 0;
};

/// Arguments: members of the fleet, and record changes of the whole fleet in 1,000 seconds, of which an eighth
/// is in the own data centre. The first exchange, with all records, is counted apart.
void bridgeSecond(benchmark::State &state)
{
    constexpr int Seconds = 60;
    AnsweredBridge bridge(static_cast<std::size_t>(state.range(0)));
    for (int second = 0; second < 3; ++second) {
        bridge.runSecond();
    }
    const auto firstBytes = bridge.sentBytes();
    const auto firstFrames = bridge.sentFrames();
    double due = 0;
    for (auto _ : state) {
        for (int second = 0; second < Seconds; ++second) {
            for (due += static_cast<double>(state.range(1)) / 1000 / DataCentreCount; due >= 1; due -= 1) {
                bridge.addNews();
            }
            bridge.runSecond();
        }
    }
    if (firstFrames == 0) {
        state.SkipWithError("the member is no bridge");
    }
    state.counters["firstBytes"] = static_cast<double>(firstBytes);
    state.counters["framesPerSecond"] = static_cast<double>(bridge.sentFrames() - firstFrames) / Seconds;
    state.counters["sentBytesPerSecond"] = static_cast<double>(bridge.sentBytes() - firstBytes) / Seconds;
    state.counters["protocolSeconds"] = Seconds;
}
BENCHMARK(bridgeSecond)
    ->Name("BridgeSecond")
    ->ArgsProduct({{1'000, 8'000, 26'000}, {270, 2'700}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

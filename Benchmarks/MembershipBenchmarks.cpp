// Cost of the member list and of failure detection.

#include "AllocationCounter.h"
#include "BenchmarkFleet.h"

#include <LibMembership/LibMembership.h>

#include <benchmark/benchmark.h>

#include <deque>

using namespace Fuchsiastep;
using namespace Fuchsiastep::Benchmarks;

namespace {

/// UDP and IPv4 headers of a datagram in bytes.
constexpr std::size_t DatagramHeaderBytes = 28;

MembershipTable makeTable(std::size_t members, std::size_t dataCentres, const Clock &clock)
{
    MembershipTable table(makeMember(0, members, dataCentres), clock);
    for (std::size_t index = 1; index < members; ++index) {
        table.merge(makeMember(index, members, dataCentres));
    }
    return table;
}

void membershipMerge(benchmark::State &state)
{
    const auto members = static_cast<std::size_t>(state.range(0));
    const auto clock = Clock::manual();
    auto table = makeTable(members, DataCentreCount, clock);
    auto record = makeMember(members / 2, members);
    for (auto _ : state) {
        ++record.sequence;
        benchmark::DoNotOptimize(table.merge(record));
    }
}
BENCHMARK(membershipMerge)->Name("MembershipMerge")->Arg(1'000)->Arg(8'000)->Arg(26'000)->MinTime(0.2);

void probeEncode(benchmark::State &state)
{
    Ping ping;
    ping.cargo.senderId = proxyId(1);
    ping.targetId = proxyId(2);
    for (std::size_t index = 0; index < static_cast<std::size_t>(state.range(0)); ++index) {
        ping.cargo.updates.push_back({makeMember(index, 26'000), {}});
    }
    const ProbeDatagram datagram = ping;
    for (auto _ : state) {
        benchmark::DoNotOptimize(encodeProbe(datagram));
    }
    state.counters["bytes"] = static_cast<double>(encodeProbe(datagram).size());
}
BENCHMARK(probeEncode)->Name("ProbeEncode")->Arg(0)->Arg(2)->Arg(4)->MinTime(0.1);

void memberRecordSize(benchmark::State &state)
{
    std::string bytes;
    for (auto _ : state) {
        bytes = encodeMemberRecord(makeMember(static_cast<std::size_t>(state.range(0)), 26'000));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(memberRecordSize)->Name("MemberRecordSize")->Arg(9)->Arg(999)->Arg(25'999)->Iterations(1);

/// One detector among peers that answer every probe at once. What the detector sends by itself is also what
/// each of its peers sends, so that it receives as many datagrams with the same news as it sends.
class LosslessPeers
{
public:
    LosslessPeers(std::size_t members, std::size_t dataCentres)
        : m_members(members)
        , m_dataCentres(dataCentres)
        , m_table(makeTable(members * dataCentres, dataCentres, m_clock))
        , m_detector({}, m_table, m_clock, m_random)
    {
        run(m_detector.handle(HeldVersionChanged {{7, Digest::of("held")}}));
    }

    /// A record of another member changes; the next datagram that arrives tells it.
    void addNews()
    {
        const auto index = 1 + m_peerRandom.below(m_members * m_dataCentres - 1);
        auto record = makeMember(index, m_members * m_dataCentres, m_dataCentres);
        record.sequence = ++m_newsSequence;
        m_news.push_back({record, {}});
    }

    void runTo(TimePoint end)
    {
        while (m_clock.now() < end) {
            const auto deadline = m_detector.nextDeadline().value_or(end);
            m_clock.advance(std::max(Duration(0), std::min(deadline, end) - m_clock.now()));
            if (m_detector.nextDeadline() && *m_detector.nextDeadline() > m_clock.now()) {
                continue;
            }
            spontaneous(m_detector.advance());
        }
    }

    TimePoint now() const
    {
        return m_clock.now();
    }
    std::uint64_t sentDatagrams() const
    {
        return m_sentDatagrams;
    }
    std::uint64_t sentBytes() const
    {
        return m_sentBytes;
    }
    std::uint64_t receivedBytes() const
    {
        return m_receivedBytes;
    }
    std::uint64_t tableRevision() const
    {
        return m_table.revision();
    }

private:
    const std::string &selfId() const
    {
        return m_table.self().proxyId;
    }

    /// Members of the detector's own data centre have the multiples of the number of data centres as index.
    std::size_t randomPeer()
    {
        return (1 + m_peerRandom.below(m_members - 1)) * m_dataCentres;
    }

    void run(const std::vector<FailureDetectorOutput> &outputs)
    {
        for (const auto &output : outputs) {
            if (const auto *probe = std::get_if<SendProbe>(&output)) {
                countSent(probe->datagram);
            }
        }
    }

    void countSent(const ProbeDatagram &datagram)
    {
        ++m_sentDatagrams;
        m_sentBytes += encodeProbe(datagram).size() + DatagramHeaderBytes;
    }

    void receive(std::size_t peer, ProbeDatagram datagram)
    {
        auto &cargo = std::visit([](auto &content) -> ProbeCargo & { return content.cargo; }, datagram);
        cargo.senderId = proxyId(peer);
        if (!m_news.empty()) {
            cargo.updates.clear();
            cargo.updates.push_back(m_news.front());
            m_news.pop_front();
        }
        const auto bytes = encodeProbe(datagram);
        m_receivedBytes += bytes.size() + DatagramHeaderBytes;
        const auto address = makeMember(peer, m_members * m_dataCentres, m_dataCentres).address;
        run(m_detector.handle(ReceivedProbe {address, expectValue(tryDecodeProbe(bytes))}));
    }

    void spontaneous(const std::vector<FailureDetectorOutput> &outputs)
    {
        run(outputs);
        for (const auto &output : outputs) {
            if (const auto *probe = std::get_if<SendProbe>(&output)) {
                std::visit([this](const auto &content) { mirror(content); }, probe->datagram);
            }
        }
    }

    void mirror(const Ping &ping)
    {
        receive(indexOf(ping.targetId), Ack {ping.cargo, ping.sequence, ping.targetId});
        receive(randomPeer(), Ping {ping.cargo, ++m_peerSequence, selfId()});
    }
    void mirror(const PingRequest &)
    {
        // Peers answer every direct probe, so that no indirect probe is asked for.
        std::abort();
    }
    void mirror(const Ack &ack)
    {
        const auto peer = randomPeer();
        receive(peer, Ack {ack.cargo, ack.sequence, proxyId(peer)});
    }

    static std::size_t indexOf(const std::string &id)
    {
        return std::stoul(id.substr(id.rfind('-') + 1));
    }

    std::size_t m_members;
    std::size_t m_dataCentres;
    Clock m_clock = Clock::manual();
    Random m_random {1};
    Random m_peerRandom {2};
    MembershipTable m_table;
    FailureDetector m_detector;
    std::deque<MemberUpdate> m_news;
    std::uint64_t m_newsSequence = 10;
    std::uint64_t m_peerSequence = 1'000'000;
    std::uint64_t m_sentDatagrams = 0;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
};

/// Protocol time of one iteration in seconds: long enough for news at the mean rate.
constexpr std::int64_t ProtocolSeconds = 120;

/// Arguments: members of the data centre, and record changes of the whole fleet in 1,000 seconds. The fleet
/// has eight such data centres. The timed section includes the codec of the probe, but no socket.
void detectorSecond(benchmark::State &state)
{
    const auto members = static_cast<std::size_t>(state.range(0));
    const double newsPerSecond = static_cast<double>(state.range(1)) / 1000;
    LosslessPeers peers(members, DataCentreCount);
    peers.runTo(peers.now() + std::chrono::seconds(5));
    const auto datagrams = peers.sentDatagrams();
    const auto sent = peers.sentBytes();
    const auto received = peers.receivedBytes();
    const auto revision = peers.tableRevision();
    double due = 0;
    for (auto _ : state) {
        for (std::int64_t second = 0; second < ProtocolSeconds; ++second) {
            for (due += newsPerSecond; due >= 1; due -= 1) {
                peers.addNews();
            }
            peers.runTo(peers.now() + std::chrono::seconds(1));
        }
    }
    const auto seconds = static_cast<double>(state.iterations() * ProtocolSeconds);
    state.counters["protocolSeconds"] = static_cast<double>(ProtocolSeconds);
    state.counters["datagramsPerSecond"] = static_cast<double>(peers.sentDatagrams() - datagrams) / seconds;
    state.counters["sentBytesPerSecond"] = static_cast<double>(peers.sentBytes() - sent) / seconds;
    state.counters["receivedBytesPerSecond"] = static_cast<double>(peers.receivedBytes() - received) / seconds;
    state.counters["recordChangesPerSecond"] = static_cast<double>(peers.tableRevision() - revision) / seconds;
}

// 270 and 2,700: four records for each of 5,800 restarts a day, and ten times that.
BENCHMARK(detectorSecond)
    ->Name("DetectorSecond")
    ->ArgsProduct({{100, 800, 3'250}, {0, 270, 2'700}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

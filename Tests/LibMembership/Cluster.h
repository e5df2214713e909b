#pragma once

#include <LibMembership/LibMembership.h>
#include <LibWire/LibWire.h>
#include <Support/SeededQueue.h>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Fuchsiastep {

constexpr TimePoint Never = TimePoint::max();

/// The platform's table as the decision objects of these tests need it.
struct FakePlatform
{
    std::map<std::string, std::string> rows;
    std::map<std::string, std::uint64_t> revisions;
    std::vector<Configuration::Pointer> configurations {Configuration::empty()};
    std::vector<ConfigurationDelta> deltas;
    std::uint64_t headReads = 0;

    ConfigurationVersion head() const
    {
        return deltas.size();
    }
    /// Accepts a change that declares \a count services.
    void change(std::size_t count = 1, std::size_t labelBytes = 20)
    {
        std::vector<DeclaredObject> stored;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string name = "service-" + std::to_string(head()) + "-" + std::to_string(i);
            stored.emplace_back(ServiceDeclaration {name, {{"line", std::string(labelBytes, 'x')}}});
        }
        deltas.push_back(ConfigurationDelta::onTopOf(*configurations.back(), stored, {}));
        configurations.push_back(valueOf(configurations.back()->tryApply(deltas.back())));
    }
    PlatformResponse answer(const PlatformRequest &request)
    {
        if (const auto *transaction = std::get_if<Transaction>(&request)) {
            for (const RowCondition &condition : transaction->conditions) {
                if (revisions[condition.key] != condition.expectedRevision) {
                    return Conflict {};
                }
            }
            for (const RowWrite &write : transaction->writes) {
                rows[write.key] = write.value.value_or("");
                ++revisions[write.key];
                if (!write.value) {
                    rows.erase(write.key);
                    revisions.erase(write.key);
                }
            }
            return Committed {1};
        }
        Rows found;
        if (const auto *read = std::get_if<ReadRows>(&request)) {
            for (const std::string &key : read->keys) {
                found.rows.push_back({key, revisions[key], rows.contains(key) ? rows[key] : std::string()});
            }
            return found;
        }
        for (const auto &[key, value] : rows) {
            if (key.starts_with(std::get<ScanRows>(request).prefix)) {
                found.rows.push_back({key, 1, value});
            }
        }
        return found;
    }
};

/// A few proxies' decision objects over one unreliable queue. Every message passes through its codec.
class Cluster
{
public:
    struct Proxy
    {
        Proxy(const MemberRecord &record, const Clock &clock, Random &random)
            : table(record, clock)
            , detector({}, table, clock, random)
            , contacts({}, table, detector.crashSuspects(), clock, random)
            , remote({}, table, clock, random)
            , suspectSync({}, table, detector.crashSuspects(), clock, random)
            , suspectStore({}, detector.crashSuspects(), clock, random)
            , departureStore({}, table, clock, random)
            , distributor({}, table, holder, clock, random)
            , gate({}, table, clock, random)
        { }
        MembershipTable table;
        ConfigurationHolder holder;
        FailureDetector detector;
        ContactKeeper contacts;
        RemoteSync remote;
        CrashSuspectSync suspectSync;
        CrashSuspectStore suspectStore;
        DepartureStore departureStore;
        Distributor distributor;
        StartupGate gate;
        TimePoint nextPoll;
        bool isFrozen = false;
    };
    struct Node
    {
        std::string id;
        std::string dataCentre;
        std::unique_ptr<Proxy> proxy;
        TimePoint due = Never;
        std::size_t restarts = 0;
        bool isPlatformCut = false;
        ConfigurationVersion highestHeld = 0;
        ConfigurationVersion heldBefore = 0;
        /// Fingerprints of crash suspects that the current process knows.
        std::set<std::uint64_t> suspects;
        /// Other members have confirmed the last departure that the current process acknowledged.
        bool isDepartureHeld = false;
        /// What the current process learned of the departures of earlier ones.
        std::optional<DepartedUpstream> learnedDeparture;
        bool isDepartureHistoryKnown = false;
    };
    struct Datagram
    {
        std::string content;
    };
    struct FrameBytes
    {
        std::string content;
    };
    struct StoreReply
    {
        PlatformReply reply;
    };
    struct DepartureReply
    {
        PlatformReply reply;
    };
    struct Message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::variant<Datagram, FrameBytes, PlatformReply, StoreReply, DepartureReply, HeadRead> content;
    };
    using Queue = SeededQueue<Message>;

    explicit Cluster(std::uint64_t seedNumber, Queue::Faults faults = {})
        : seed("seed " + std::to_string(seedNumber)), random(seedNumber), queue(clock, random, faults)
    { }

    void add(std::size_t count, const std::string &dataCentre = "toowoomba")
    {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back({"proxy-" + std::to_string(nodes.size()), dataCentre});
            start(nodes.size() - 1);
        }
    }
    void start(std::size_t index)
    {
        Node &node = nodes[index];
        const auto incarnation = static_cast<std::uint64_t>(clock.unixMilliseconds());
        MemberRecord record {node.id, incarnation, 0, MemberState::Serving, addressOf(index), node.dataCentre, "qld-south"};
        node.proxy = std::make_unique<Proxy>(record, clock, random);
        node.proxy->nextPoll = clock.now() + random.jitter(std::chrono::milliseconds(500));
        node.heldBefore = std::exchange(node.highestHeld, 0);
        node.suspects.clear();
        node.isDepartureHeld = false;
        node.learnedDeparture.reset();
        node.isDepartureHistoryKnown = false;
        ++node.restarts;
        step(index);
    }
    /// Tells every proxy of all others, as after a join long ago, and lets them hold \a configuration.
    void introduceAll(const Configuration::Pointer &configuration = Configuration::empty())
    {
        MergeRecords records;
        for (const Node &node : nodes) {
            records.records.push_back(node.proxy->table.self());
        }
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            drain(i, nodes[i].proxy->detector.handle(records));
            if (configuration->version() > 0) {
                drain(i, nodes[i].proxy->distributor.handle(ConfigurationFound {configuration}));
            }
            step(i);
        }
    }
    void kill(std::size_t index)
    {
        nodes[index].proxy.reset();
        nodes[index].due = Never;
    }
    void freeze(std::size_t index)
    {
        nodes[index].proxy->isFrozen = true;
        nodes[index].due = Never;
    }
    void thaw(std::size_t index)
    {
        nodes[index].proxy->isFrozen = false;
        step(index);
    }
    /// The upstream beside a proxy crashed while it ran a request.
    void recordCrash(std::size_t index, const CrashSuspectEntry &entry)
    {
        nodes[index].suspects.insert(entry.fingerprint);
        drain(index, nodes[index].proxy->detector.handle(CrashSuspectRecorded {entry}));
        drainStore(index, nodes[index].proxy->suspectStore.handle(CrashObserved {{entry.fingerprint}}));
        settle(index);
    }
    /// The upstream beside a proxy leaves.
    void recordDeparture(std::size_t index, const UpstreamDeparted &departed)
    {
        nodes[index].isDepartureHeld = false;
        drain(index, nodes[index].proxy->detector.handle(departed));
        settle(index);
    }
    /// The upstream beside a proxy announced itself, and no member told whether it left before.
    void wantDepartureHistory(std::size_t index)
    {
        drainDepartures(index, nodes[index].proxy->departureStore.handle(DepartureHistoryWanted {}));
        settle(index);
    }
    void learnStoredDeparture(std::size_t index, const DepartedUpstream &departed)
    {
        drain(index, nodes[index].proxy->detector.handle(StoredDeparture {departed}));
        settle(index);
    }
    /// A record arrives at a proxy.
    void merge(std::size_t index, const MemberRecord &record)
    {
        drain(index, nodes[index].proxy->detector.handle(MergeRecords {{record}}));
        settle(index);
    }
    bool allSuspect(std::uint64_t fingerprint) const
    {
        return std::all_of(
            nodes.begin(), nodes.end(), [&](const Node &node) { return !node.proxy || node.suspects.contains(fingerprint); });
    }
    /// The platform comes back without any of the rows that the proxies wrote, and each of them notices.
    void losePlatformRows()
    {
        platform.rows.clear();
        platform.revisions.clear();
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            drain(i, nodes[i].proxy->contacts.handle(PlatformRestored {1, 2}));
            drainStore(i, nodes[i].proxy->suspectStore.handle(PlatformRestored {1, 2}));
            drainDepartures(i, nodes[i].proxy->departureStore.handle(PlatformRestored {1, 2}));
            settle(i);
        }
    }
    void leave(std::size_t index)
    {
        drain(index, nodes[index].proxy->detector.handle(LeaveRequested {}));
        kill(index);
    }

    void run(Duration length)
    {
        const TimePoint limit = clock.now() + length;
        while (true) {
            std::size_t next = 0;
            for (std::size_t i = 1; i < nodes.size(); ++i) {
                next = nodes[i].due < nodes[next].due ? i : next;
            }
            const TimePoint due = nodes[next].due;
            if (queue.nextDue().value_or(Never) <= std::min(due, limit)) {
                deliver(*queue.next(limit));
            } else if (due <= limit) {
                clock.advance(std::max(due - clock.now(), Duration(0)));
                step(next);
            } else {
                break;
            }
        }
        clock.advance(limit - clock.now());
    }
    /// Runs until \a isDone, and fails with \a what where that takes longer than \a bound.
    Duration runUntil(const std::function<bool()> &isDone, Duration bound, const std::string &what)
    {
        const TimePoint begin = clock.now();
        while (!isDone()) {
            CPPUNIT_ASSERT_MESSAGE(seed + ": " + what, clock.now() - begin < bound);
            run(std::chrono::milliseconds(20));
        }
        return clock.now() - begin;
    }

    bool knowsAsLive(std::size_t observer, std::size_t subject) const
    {
        const MemberRecord *record = nodes[observer].proxy->table.find(nodes[subject].id);
        return record != nullptr && memberStateInfo(record->state).isLive;
    }
    /// True where every running proxy knows exactly the running proxies as live.
    bool agrees() const
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            for (std::size_t j = 0; nodes[i].proxy && j < nodes.size(); ++j) {
                if (knowsAsLive(i, j) != (nodes[j].proxy != nullptr)) {
                    return false;
                }
            }
        }
        return true;
    }
    bool allHold(ConfigurationVersion version) const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const Node &node) {
            return !node.proxy || node.proxy->holder.current()->version() == version;
        });
    }

    static SocketAddress addressOf(std::size_t index)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(10000 + index)};
    }

    std::string seed;
    Clock clock = Clock::manual();
    Random random;
    Queue queue;
    FakePlatform platform;
    std::vector<Node> nodes;
    /// True where a message from one node does not arrive at another.
    std::function<bool(std::size_t, std::size_t)> isCut = [](std::size_t, std::size_t) {
        return false;
    };
    /// True where frames from one node do not arrive at another, while datagrams do.
    std::function<bool(std::size_t, std::size_t)> isSilent = [](std::size_t, std::size_t) {
        return false;
    };
    /// Removals of members that were running, and of members that were not.
    std::size_t falseRemovals = 0;
    std::size_t trueRemovals = 0;
    std::size_t isolations = 0;
    std::size_t mostSnapshots = 0;
    /// Frames that distribute configurations: bytes, and the number that each node sent.
    std::uint64_t distributionBytes = 0;
    std::map<std::size_t, std::uint64_t> distributionFrames;

private:
    void step(std::size_t index)
    {
        Node &node = nodes[index];
        Proxy *proxy = node.proxy.get();
        drain(index, proxy->detector.advance());
        drain(index, proxy->contacts.advance());
        drain(index, proxy->remote.advance());
        drain(index, proxy->suspectSync.advance());
        drainStore(index, proxy->suspectStore.advance());
        drainDepartures(index, proxy->departureStore.advance());
        drain(index, proxy->distributor.advance());
        drain(index, proxy->gate.advance());
        poll(index);
        settle(index);
    }
    void settle(std::size_t index)
    {
        Node &node = nodes[index];
        const Proxy &proxy = *node.proxy;
        node.due = std::min(*proxy.detector.nextDeadline(), *proxy.contacts.nextDeadline());
        node.due = std::min({node.due, *proxy.remote.nextDeadline(), proxy.nextPoll});
        node.due = std::min(node.due, proxy.suspectSync.nextDeadline().value_or(Never));
        node.due = std::min(node.due, proxy.suspectStore.nextDeadline().value_or(Never));
        node.due = std::min(node.due, proxy.departureStore.nextDeadline().value_or(Never));
        node.due = std::min(node.due, proxy.distributor.nextDeadline().value_or(Never));
        node.due = std::min(node.due, proxy.gate.nextDeadline().value_or(Never));
        check(node);
    }
    /// I1, the snapshot limit, and no service below a version held by an earlier process, at every step.
    void check(Node &node)
    {
        const ConfigurationVersion held = node.proxy->holder.current()->version();
        CPPUNIT_ASSERT_MESSAGE(seed + ": " + node.id + " went back", held >= node.highestHeld);
        node.highestHeld = held;
        CPPUNIT_ASSERT_MESSAGE(seed + ": " + node.id + " serves an older version", !node.proxy->gate.isOpen() || held >= node.heldBefore);
        mostSnapshots = std::max(mostSnapshots, node.proxy->distributor.snapshotsInProgress());
        CPPUNIT_ASSERT_MESSAGE(seed + ": snapshots at once", node.proxy->distributor.snapshotsInProgress() <= 2);
    }
    /// Stands for the ConfigurationReader: readers poll the head every 500 ms.
    void poll(std::size_t index)
    {
        Proxy &proxy = *nodes[index].proxy;
        if (clock.now() < proxy.nextPoll) {
            return;
        }
        proxy.nextPoll = clock.now() + std::chrono::milliseconds(500);
        const bool isReadable = !nodes[index].isPlatformCut;
        drain(index, proxy.distributor.handle(PlatformReadability {isReadable}));
        if (!isReadable || !holdsRole(proxy.table, ReaderRoleName)) {
            return;
        }
        ++platform.headReads;
        const ConfigurationVersion held = proxy.holder.current()->version();
        if (held == 0 && platform.head() > 0) {
            drain(index, proxy.distributor.handle(ConfigurationFound {platform.configurations.back()}));
        }
        for (std::size_t i = held; held > 0 && i < platform.deltas.size(); ++i) {
            drain(index, proxy.distributor.handle(ConfigurationFound {platform.deltas[i]}));
        }
    }

    void deliver(const Message &message)
    {
        Node &node = nodes[message.to];
        if (node.proxy == nullptr || isCut(message.from, message.to)) {
            return;
        }
        if (node.proxy->isFrozen) {
            queue.schedule(message, std::chrono::seconds(1));
            return;
        }
        std::visit([&](const auto &content) { receive(message, content); }, message.content);
        settle(message.to);
    }
    void receive(const Message &message, const Datagram &datagram)
    {
        const auto probe = tryDecodeProbe(datagram.content);
        CPPUNIT_ASSERT_MESSAGE(seed + ": probe", !isError(probe));
        drain(message.to, nodes[message.to].proxy->detector.handle(ReceivedProbe {addressOf(message.from), valueOf(probe)}));
    }
    void receive(const Message &message, const FrameBytes &bytes)
    {
        if (isSilent(message.from, message.to)) {
            return;
        }
        const auto frame = tryDecodeFrame(std::string_view(bytes.content).substr(FrameHeaderBytes));
        CPPUNIT_ASSERT_MESSAGE(seed + ": frame", !isError(frame));
        Proxy &proxy = *nodes[message.to].proxy;
        const PeerFrame input {nodes[message.from].id, valueOf(frame)};
        drain(message.to, proxy.contacts.handle(input));
        drain(message.to, proxy.remote.handle(input));
        drain(message.to, proxy.suspectSync.handle(input));
        drain(message.to, proxy.distributor.handle(input));
        drain(message.to, proxy.gate.handle(input));
    }
    void receive(const Message &message, const PlatformReply &reply)
    {
        drain(message.to, nodes[message.to].proxy->contacts.handle(reply));
    }
    void receive(const Message &message, const StoreReply &reply)
    {
        drainStore(message.to, nodes[message.to].proxy->suspectStore.handle(reply.reply));
    }
    void receive(const Message &message, const DepartureReply &reply)
    {
        drainDepartures(message.to, nodes[message.to].proxy->departureStore.handle(reply.reply));
    }
    void receive(const Message &message, const HeadRead &head)
    {
        drain(message.to, nodes[message.to].proxy->gate.handle(head));
    }

    template<typename Outputs>
    void drain(std::size_t index, const Outputs &outputs)
    {
        for (const auto &output : outputs) {
            std::visit([&](const auto &content) { put(index, content); }, output);
        }
    }
    void put(std::size_t index, const SendProbe &probe)
    {
        std::string bytes = encodeProbe(probe.datagram);
        CPPUNIT_ASSERT_MESSAGE(seed + ": datagram too long", bytes.size() <= MaximumDatagramBytes);
        queue.send({index, probe.receiver.port - 10000U, Datagram {std::move(bytes)}});
    }
    void put(std::size_t index, const SendFrame &frame)
    {
        sendFrame(index, indexOf(frame.peer), frame.frame);
    }
    void put(std::size_t index, const SendFrameToAddress &frame)
    {
        sendFrame(index, frame.address.port - 10000U, frame.frame);
    }
    void sendFrame(std::size_t from, std::size_t to, const Frame &frame)
    {
        std::string bytes = encodeFrame(frame);
        if (!std::holds_alternative<MembershipSyncFrame>(frame)) {
            distributionBytes += bytes.size();
            ++distributionFrames[from];
        }
        // The parts of a snapshot travel on one connection, which loses the rest of them or none but never their order.
        if (std::holds_alternative<ConfigurationSnapshotFrame>(frame)) {
            queue.schedule({from, to, FrameBytes {std::move(bytes)}}, std::chrono::milliseconds(5));
        } else {
            queue.send({from, to, FrameBytes {std::move(bytes)}});
        }
    }
    void put(std::size_t index, const PlatformCall &call)
    {
        queue.schedule({index, index, callPlatform(index, call)}, std::chrono::milliseconds(5));
    }
    PlatformReply callPlatform(std::size_t index, const PlatformCall &call)
    {
        const bool isCutOff = nodes[index].isPlatformCut;
        return {call.id, isCutOff ? PlatformFailure {ErrorCode::PlatformUnavailable} : platform.answer(call.request)};
    }
    void drainStore(std::size_t index, const std::vector<CrashSuspectStoreOutput> &outputs)
    {
        for (const CrashSuspectStoreOutput &output : outputs) {
            if (const auto *call = std::get_if<PlatformCall>(&output)) {
                queue.schedule({index, index, StoreReply {callPlatform(index, *call)}}, std::chrono::milliseconds(5));
            } else if (const auto *merge = std::get_if<MergeCrashSuspects>(&output)) {
                put(index, *merge);
            }
        }
    }
    void put(std::size_t index, const ReadHead &)
    {
        const bool isCutOff = nodes[index].isPlatformCut;
        queue.schedule({index, index, HeadRead {isCutOff ? std::nullopt : std::optional(platform.head())}}, std::chrono::milliseconds(5));
    }
    void put(std::size_t index, const CrashSuspectRow &found)
    {
        drainStore(index, nodes[index].proxy->suspectStore.handle(found));
    }
    void put(std::size_t index, const MergeCrashSuspects &suspects)
    {
        drain(index, nodes[index].proxy->detector.handle(suspects));
    }
    void put(std::size_t index, const MergeRecords &records)
    {
        drain(index, nodes[index].proxy->detector.handle(records));
    }
    void put(std::size_t index, const MemberChange &change)
    {
        if (change.after.state == MemberState::Failed && change.before && change.before->state != MemberState::Failed) {
            const Node &subject = nodes[indexOf(change.after.proxyId)];
            const bool isRunning = subject.proxy && !subject.proxy->isFrozen;
            ++(isRunning ? falseRemovals : trueRemovals);
        }
        drain(index, nodes[index].proxy->distributor.handle(change));
    }
    void put(std::size_t index, const PeerVersion &version)
    {
        drain(index, nodes[index].proxy->distributor.handle(version));
    }
    void put(std::size_t index, const ConfigurationAdopted &adopted)
    {
        const VersionStamp held {adopted.configuration->version(), adopted.configuration->digest()};
        drain(index, nodes[index].proxy->detector.handle(HeldVersionChanged {held}));
        drain(index, nodes[index].proxy->gate.handle(HeldVersion {held.version}));
    }
    void put(std::size_t, const IsolationSuspected &)
    {
        ++isolations;
    }
    void put(std::size_t index, const FreezeDetected &)
    {
        drain(index, nodes[index].proxy->gate.handle(ProcessResumed {}));
    }
    void put(std::size_t index, const RangeUnacknowledged &range)
    {
        drain(index, nodes[index].proxy->detector.handle(VersionUnacknowledged {range.members}));
    }
    /// Stands for the read of the platform that follows.
    void put(std::size_t index, const PullTimedOut &)
    {
        if (!nodes[index].isPlatformCut) {
            drain(index, nodes[index].proxy->distributor.handle(ConfigurationFound {platform.configurations.back()}));
        }
    }
    void put(std::size_t index, const JoinCompleted &)
    {
        drain(index, nodes[index].proxy->gate.handle(JoinEnded {}));
    }
    void put(std::size_t index, const CrashSuspectLearned &learned)
    {
        nodes[index].suspects.insert(learned.entry.fingerprint);
    }
    void put(std::size_t index, const DepartureHeld &)
    {
        nodes[index].isDepartureHeld = true;
    }
    void put(std::size_t index, const DepartureLearned &learned)
    {
        nodes[index].learnedDeparture = learned.departed;
    }
    void put(std::size_t index, const DepartureHistoryKnown &)
    {
        nodes[index].isDepartureHistoryKnown = true;
    }
    void put(std::size_t index, const DepartureExpired &expired)
    {
        drainDepartures(index, nodes[index].proxy->departureStore.handle(expired));
    }
    void put(std::size_t index, const StoredDeparture &stored)
    {
        drain(index, nodes[index].proxy->detector.handle(stored));
    }
    void drainDepartures(std::size_t index, const std::vector<DepartureStoreOutput> &outputs)
    {
        for (const DepartureStoreOutput &output : outputs) {
            if (const auto *request = std::get_if<PlatformCall>(&output)) {
                queue.schedule({index, index, DepartureReply {callPlatform(index, *request)}}, std::chrono::milliseconds(5));
            } else {
                std::visit([&](const auto &content) { put(index, content); }, output);
            }
        }
    }
    template<typename Report>
    void put(std::size_t, const Report &)
    { }

    std::size_t indexOf(const std::string &id) const
    {
        return std::stoul(id.substr(std::string("proxy-").size()));
    }
};

} // namespace Fuchsiastep

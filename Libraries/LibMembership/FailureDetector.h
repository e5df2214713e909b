#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibMembership/CrashSuspectSet.h>
#include <LibMembership/FailureDetectorMessages.h>
#include <LibMembership/FailureDetectorSettings.h>
#include <LibMembership/GossipQueue.h>
#include <LibMembership/IsolationWatch.h>
#include <LibMembership/MembershipTable.h>
#include <LibMembership/ProbeSchedule.h>
#include <LibMembership/Suspicion.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// SWIM-like failure detection inside the data centre, and gossip of member records and crash suspects. It is the
/// only object that changes the MembershipTable; the other decision objects read it.
///
/// A member is removed where at least two members accuse it, or where no third member exists that could, something
/// beyond the data centre answers, and the long timeout has passed. Members of other data centres are kept as they
/// are reported and never probed.
class FailureDetector
{
public:
    /// \a table holds the record of this proxy. It must outlive the object, as must clock and random.
    FailureDetector(FailureDetectorSettings settings, MembershipTable &table, const Clock &clock, Random &random);

    std::vector<FailureDetectorOutput> handle(const FailureDetectorInput &input);
    std::vector<FailureDetectorOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

    bool isIsolated() const
    {
        return m_isolation.isIsolated();
    }
    const CrashSuspectSet &crashSuspects() const
    {
        return m_crashSuspects;
    }

private:
    struct PendingProbe
    {
        std::string targetId;
        TimePoint sentAt;
        bool isIndirectSent = false;
    };
    /// A departure that is being handed over to other members.
    struct DepartureHandover
    {
        TimePoint end;
        TimePoint nextPing;
        /// Pings that carried the departure: sequence and receiver.
        std::map<std::uint64_t, std::string> pings;
        std::set<std::string> holders;
    };
    struct Relay
    {
        SocketAddress requester;
        std::uint64_t requesterSequence = 0;
        std::string targetId;
        TimePoint expiry;
    };

    void accept(const ReceivedProbe &probe);
    void accept(const MergeRecords &merge);
    void accept(const MergeCrashSuspects &merge);
    void accept(const HeldVersionChanged &change);
    void accept(const OwnRecordChanged &change);
    void accept(const UpstreamDeparted &departure);
    void accept(const StoredDeparture &stored);
    void accept(const LeaveRequested &request);
    void accept(const CrashSuspectRecorded &record);
    void accept(const VersionUnacknowledged &unacknowledged);
    void accept(const OutsideReached &reached);

    void acceptPing(const SocketAddress &sender, const Ping &ping);
    void acceptPingRequest(const SocketAddress &sender, const PingRequest &request);
    void acceptAck(const Ack &ack);

    void learn(const ProbeCargo &cargo);
    void applyUpdate(const MemberUpdate &update);
    void refuteIfAccused(const MemberRecord &record);
    /// \a record is of this proxy, as another member holds it.
    void learnOwnHistory(const MemberRecord &record);
    void learnOwnDeparture(const std::optional<DepartedUpstream> &departed);
    void expireTombstones();
    void runDepartureHandover();
    void noteDepartureHolder(const Ack &ack);
    /// Reports a record of this proxy that is too long for a probe.
    bool fitsProbe(const MemberRecord &record);
    bool mergeAndGossip(const MemberUpdate &update);
    void applyAccusation(const MemberUpdate &update);
    bool learnCrashSuspect(const CrashSuspectEntry &entry);
    void spreadAtOnce();
    void changeOwnRecord(MemberRecord record);

    void probeNext();
    void probe(const MemberRecord &target);
    void runProbes();
    void sendIndirectProbes(std::uint64_t sequence, PendingProbe &pending);
    void probeFailed(const PendingProbe &pending);
    void runSuspicions();
    void settleSuspicion(const std::string &id);
    bool hasEvidence(const Suspicion &suspicion) const;
    void runIsolation();
    void beginIsolationRound(const std::string &missedId);
    void restartSuspicions();
    void gossip();
    void probeFailedPeer();
    void noticeFreeze();

    std::uint64_t sendPing(const MemberRecord &target);
    template<typename Datagram>
    void send(const SocketAddress &receiver, const std::string &receiverId, Datagram datagram);
    std::size_t transmissions() const;
    std::vector<FailureDetectorOutput> takeOutputs();

    FailureDetectorSettings m_settings;
    MembershipTable &m_table;
    const Clock &m_clock;
    Random &m_random;
    ProbeSchedule m_schedule;
    GossipQueue m_gossip;
    IsolationWatch m_isolation;
    CrashSuspectSet m_crashSuspects;
    VersionStamp m_held;
    std::uint64_t m_nextSequence = 1;
    std::map<std::uint64_t, PendingProbe> m_pending;
    std::map<std::uint64_t, Relay> m_relays;
    std::map<std::string, Suspicion> m_suspicions;
    TimePoint m_nextProbe;
    TimePoint m_nextGossip;
    TimePoint m_nextFailedProbe;
    std::optional<TimePoint> m_outsideReachedAt;
    /// Incarnation at the start of this process.
    std::uint64_t m_firstIncarnation;
    bool m_isDepartureHistoryKnown = false;
    std::optional<DepartureHandover> m_departureHandover;
    /// The departure in the own record was acknowledged by this process, not by an earlier one.
    bool m_isDepartureOwn = false;
    std::vector<FailureDetectorOutput> m_outputs;
};

} // namespace Fuchsiastep

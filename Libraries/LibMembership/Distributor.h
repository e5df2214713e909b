#pragma once

#include <LibConfiguration/ConfigurationHolder.h>
#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibMembership/ConfigurationPuller.h>
#include <LibMembership/DistributorMessages.h>
#include <LibMembership/DistributorSettings.h>
#include <LibMembership/HoldStep.h>
#include <LibMembership/RangeBroadcast.h>
#include <LibMembership/SnapshotServer.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Brings configurations to every proxy: range broadcast inside the data centre, anti-entropy for what it misses, and
/// snapshots for proxies that no delta can help. The ConfigurationHolder decides what is adopted.
class Distributor
{
public:
    /// \a table, \a holder, \a clock and \a random must outlive the object. Only this object changes \a holder.
    Distributor(
        DistributorSettings settings, const MembershipTable &table, ConfigurationHolder &holder, const Clock &clock, Random &random);
    Distributor(const Distributor &) = delete;
    Distributor &operator=(const Distributor &) = delete;

    std::vector<DistributorOutput> handle(const DistributorInput &input);
    std::vector<DistributorOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

    std::size_t snapshotsInProgress() const
    {
        return m_snapshots.inProgress();
    }
    bool isPulling() const
    {
        return m_puller.isPulling();
    }

private:
    struct HandledPush
    {
        VersionStamp target;
        RingRange range;
        bool operator==(const HandledPush &) const = default;
    };

    void accept(const ConfigurationFound &found);
    void accept(const ContentReplaced &replaced);
    void accept(const PeerFrame &frame);
    void accept(const PeerVersion &version);
    void accept(const MemberChange &change);
    void accept(const PlatformReadability &readability);

    void acceptFound(const ConfigurationDelta &delta);
    void acceptFound(const Configuration::Pointer &configuration);
    void acceptPush(const std::string &peer, const ConfigurationPushFrame &push);
    void acceptAck(const std::string &peer, const ConfigurationAckFrame &ack);
    void acceptPull(const std::string &peer, const ConfigurationPullFrame &pull);
    void acceptSnapshot(const std::string &peer, const ConfigurationSnapshotFrame &part);
    void finishSnapshot(const std::string &peer, const ConfigurationPuller::Snapshot &snapshot);

    void startFound();
    void rebaseFound();
    void runHoldStep();
    void yieldToBetterReader(const std::string &peer, const ConfigurationPushFrame &push);
    bool applyPushed(const std::string &peer, const ConfigurationDelta &delta);
    void rejectPushed(const std::string &peer, const ConfigurationDelta &delta, const Error &error);
    void forward(const std::string &peer, const ConfigurationPushFrame &push, bool isAdopted);
    void pullFromOtherDataCentre();
    void reportAdopted();
    void reject(const Error &error, const std::string &peer);

    VersionStamp held() const;
    std::optional<TimePoint> pullsFrom() const;
    void advancePuller();
    void send(const std::string &peer, Frame frame);
    void append(std::vector<DistributorOutput> outputs);

    DistributorSettings m_settings;
    const MembershipTable &m_table;
    ConfigurationHolder &m_holder;
    const Clock &m_clock;
    Random &m_random;
    RangeBroadcast m_broadcast;
    SnapshotServer m_snapshots;
    ConfigurationPuller m_puller;
    /// Changes that wait to be distributed together, merged into one delta.
    std::optional<ConfigurationDelta> m_found;
    std::optional<TimePoint> m_foundDue;
    std::optional<HoldStep> m_holdStep;
    std::deque<HandledPush> m_handledPushes;
    bool m_isPlatformReadable = true;
    TimePoint m_startedAt;
    TimePoint m_nextRemotePull;
    std::vector<DistributorOutput> m_outputs;
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Backoff.h>
#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibMembership/DistributorMessages.h>
#include <LibMembership/DistributorSettings.h>
#include <LibMembership/MembershipTable.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Anti-entropy: pulls a later version from a peer that has it. At most one pull is in progress.
class ConfigurationPuller
{
public:
    /// A snapshot that has arrived completely.
    struct Snapshot
    {
        VersionStamp stamp;
        std::string content;
    };

    ConfigurationPuller(const DistributorSettings &settings, const MembershipTable &table, const Clock &clock, Random &random);

    /// A peer holds a version; a pull follows after a short wait where it is later than \a held.
    void seen(const std::string &peer, const VersionStamp &stamp, const VersionStamp &held);
    /// The proxy holds nothing and learnt of a peer, so that it asks without waiting.
    void askAtOnce();
    /// Pulls from \a peer now, whatever it holds, unless a pull is in progress.
    std::vector<DistributorOutput> pullFrom(const std::string &peer, const VersionStamp &held);
    /// This proxy moved to \a held.
    void adopted(const VersionStamp &held);
    /// The content of \a stamp was refused; it is left alone for a while.
    void refused(const VersionStamp &stamp);
    bool isRefused(const VersionStamp &stamp);
    /// What was held could not be combined with a delta, so that the next pull asks for a snapshot.
    void demandSnapshot(const std::string &peer, const VersionStamp &stamp, const VersionStamp &held);

    /// \a peer answered the pull with \a version and nothing else.
    void answeredNothing(const std::string &peer);
    /// \a peer answered the pull with a delta.
    void answeredDelta(const std::string &peer);
    void deferred(const std::string &peer, Duration retryAfter);
    /// A part of a snapshot; the whole where it was the last.
    std::optional<Snapshot> received(const std::string &peer, const ConfigurationSnapshotFrame &part);

    std::vector<DistributorOutput> advance(const VersionStamp &held);
    std::optional<TimePoint> nextDeadline() const;

    bool isPulling() const
    {
        return m_pull.has_value();
    }

private:
    struct Pull
    {
        std::string peer;
        TimePoint deadline;
        VersionStamp stamp;
        std::string content;
    };

    void scheduleWithin(Duration wait);
    void retry();
    void abandon(const std::string &peer);
    std::optional<std::string> choosePeer(const VersionStamp &held);
    std::optional<std::string> chooseAnyPeer();

    const DistributorSettings &m_settings;
    const MembershipTable &m_table;
    const Clock &m_clock;
    Random &m_random;
    Backoff m_backoff;
    /// Time for the next pull to be answered; it grows while pulls are not answered.
    Duration m_timeout;
    std::map<std::string, VersionStamp> m_candidates;
    std::vector<std::pair<VersionStamp, TimePoint>> m_refused;
    std::optional<TimePoint> m_due;
    std::optional<Pull> m_pull;
    std::string m_timedOutPeer;
    std::size_t m_firstPulls = 0;
    bool m_isSnapshotDemanded = false;
};

} // namespace Fuchsiastep

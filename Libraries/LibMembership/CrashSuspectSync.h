#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibMembership/CrashSuspectSet.h>
#include <LibMembership/CrashSuspectSyncMessages.h>
#include <LibMembership/MembershipTable.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

struct CrashSuspectSyncSettings
{
    /// Time for a bridge of another data centre to acknowledge; then another one is tried.
    Duration ackTimeout = std::chrono::milliseconds(500);
    /// Time between two checks for new data centres and restarted bridges.
    Duration checkPeriod = std::chrono::seconds(1);
};

/// Passes crash suspects on to other data centres, where this proxy is a bridge: each change at once, until a bridge there
/// acknowledges it. Probes carry them only within a data centre.
class CrashSuspectSync
{
public:
    /// \a table, \a suspects, \a clock and \a random must outlive the object.
    CrashSuspectSync(CrashSuspectSyncSettings settings,
        const MembershipTable &table,
        const CrashSuspectSet &suspects,
        const Clock &clock,
        Random &random);

    std::vector<CrashSuspectSyncOutput> handle(const CrashSuspectSyncInput &input);
    std::vector<CrashSuspectSyncOutput> advance();
    /// Nothing while no request is suspected.
    std::optional<TimePoint> nextDeadline() const;

private:
    struct Link
    {
        /// The bridge that the entries go to; empty before the first.
        std::string peer;
        std::uint64_t incarnation = 0;
        /// Entries up to this revision of the set are known to have arrived.
        std::uint64_t acknowledgedRevision = 0;
        std::uint64_t sentRevision = 0;
        std::optional<TimePoint> sentAt;
    };

    void accept(const PeerFrame &frame);
    void acceptAck(const std::string &peer, std::uint64_t revision);
    void update(const std::string &dataCentre, Link &link);
    void choosePeer(const std::string &dataCentre, Link &link);

    CrashSuspectSyncSettings m_settings;
    const MembershipTable &m_table;
    const CrashSuspectSet &m_suspects;
    const Clock &m_clock;
    Random &m_random;
    std::map<std::string, Link> m_links;
    std::uint64_t m_checkedRevision = 0;
    TimePoint m_nextCheck;
    std::vector<CrashSuspectSyncOutput> m_outputs;
};

} // namespace Fuchsiastep

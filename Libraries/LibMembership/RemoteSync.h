#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibMembership/MemberSync.h>
#include <LibMembership/MembershipTable.h>
#include <LibMembership/RemoteSyncMessages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

struct RemoteSyncSettings
{
    /// Time between two exchanges with a data centre.
    Duration exchangePeriod = std::chrono::seconds(1);
    /// Time for a bridge to answer; then another one is tried.
    Duration answerTimeout = std::chrono::seconds(3);
    /// A data centre of which no bridge answered for this long is unreachable.
    Duration unreachableAfter = std::chrono::seconds(8);
};

/// Sends the records of the own data centre that changed to the bridges of the other data centres, where this proxy is
/// a bridge itself. Each data centre reports its own members only, so that no record goes round in circles.
class RemoteSync
{
public:
    /// \a table, \a clock and \a random must outlive the object.
    RemoteSync(RemoteSyncSettings settings, const MembershipTable &table, const Clock &clock, Random &random);

    std::vector<RemoteSyncOutput> handle(const RemoteSyncInput &input);
    std::vector<RemoteSyncOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

    bool isReachable(const std::string &dataCentre) const;

private:
    struct Link
    {
        /// The bridge that the exchanges go to; empty before the first.
        std::string peer;
        /// Own records up to this revision of the table are known to have arrived at the peer; 0 before the first contact.
        std::uint64_t confirmedRevision = 0;
        std::uint64_t sentRevision = 0;
        std::optional<TimePoint> sentAt;
        TimePoint answeredAt;
        bool isReachable = true;
    };

    void accept(const PeerFrame &frame);
    void acceptAnswer(const std::string &peer);
    void exchange(const std::string &dataCentre, Link &link);
    void choosePeer(const std::string &dataCentre, Link &link);
    void checkTimeout(const std::string &dataCentre, Link &link);
    void setReachable(const std::string &dataCentre, Link &link, bool isReachable);

    RemoteSyncSettings m_settings;
    const MembershipTable &m_table;
    const Clock &m_clock;
    Random &m_random;
    std::map<std::string, Link> m_links;
    TimePoint m_nextExchange;
    std::vector<RemoteSyncOutput> m_outputs;
};

} // namespace Fuchsiastep

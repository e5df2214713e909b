#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibMembership/MembershipTable.h>
#include <LibMembership/StartupGateMessages.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fuchsiastep {

struct StartupGateSettings
{
    /// Time for the platform and the peers to answer.
    Duration roundTime = std::chrono::seconds(3);
    /// Longest time that a head which was read waits for the answers of the peers.
    Duration peerTime = std::chrono::seconds(1);
    /// Time between two questions to a peer that has not answered.
    Duration askPeriod = std::chrono::milliseconds(500);
    /// Time to obtain the version that is required; then the proxy asks again, and the peers decide where the head that
    /// it could not obtain is still the same.
    Duration obtainTimeout = std::chrono::seconds(10);
    /// Peers asked because they are first in the order of readers: a reader makes sure that these hold a version
    /// before it adopts it.
    std::size_t readersAsked = 8;
    /// Further peers asked.
    std::size_t othersAsked = 16;
};

/// Keeps the proxy from serving until it holds the newest version around it. Where the platform's head can be read, that is
/// the higher one of the head and what the peers asked hold: the head alone may come from an older copy of the platform
/// than the version that they have in force. Otherwise it is the highest version among the peers asked, of which more than
/// half must have answered when the round ends; peers that hold nothing do not count. Rounds repeat until one succeeds.
/// After a pause one round is enough, because the proxy still holds its version and cannot fall behind it.
class StartupGate
{
public:
    /// \a table, \a clock and \a random must outlive the object.
    StartupGate(StartupGateSettings settings, const MembershipTable &table, const Clock &clock, Random &random);

    std::vector<StartupGateOutput> handle(const StartupGateInput &input);
    std::vector<StartupGateOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

    bool isOpen() const
    {
        return m_isOpen;
    }
    /// The version that must be held before the gate opens; nothing while it is not known.
    std::optional<ConfigurationVersion> required() const
    {
        return m_required;
    }

private:
    void accept(const HeadRead &head);
    void accept(const PeerFrame &frame);
    void accept(const HeldVersion &held);
    void accept(const ProcessResumed &resumed);
    void accept(const JoinEnded &ended);
    void accept(const PlatformRestored &restored);
    void beginRound();
    void askPeers();
    void finishRound();
    bool hasMajority() const;
    ConfigurationVersion highestAnswer() const;
    bool haveAllAnswered() const;
    /// Settles on the head where nothing is left to wait for.
    void settleOnHead();
    void settle(ConfigurationVersion version);
    void openIfCurrent();

    StartupGateSettings m_settings;
    const MembershipTable &m_table;
    const Clock &m_clock;
    Random &m_random;
    bool m_isOpen = false;
    ConfigurationVersion m_held = 0;
    bool m_isResumed = false;
    bool m_hasJoined = false;
    std::optional<ConfigurationVersion> m_required;
    TimePoint m_obtainBy;
    /// The highest head that was read in this round.
    std::optional<ConfigurationVersion> m_head;
    /// A version of the head that could not be obtained, for example because it is not valid.
    ConfigurationVersion m_unobtainable = 0;
    std::set<std::string> m_asked;
    std::map<std::string, ConfigurationVersion> m_answers;
    std::optional<TimePoint> m_roundEnd;
    /// When a head no longer waits for peers; nothing while the members are not known.
    std::optional<TimePoint> m_peersDue;
    TimePoint m_nextAsk;
    std::vector<StartupGateOutput> m_outputs;
};

} // namespace Fuchsiastep

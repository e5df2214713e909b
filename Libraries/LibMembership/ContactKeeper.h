#pragma once

#include <LibConfiguration/Backoff.h>
#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibMembership/ContactKeeperMessages.h>
#include <LibMembership/ContactKeeperSettings.h>
#include <LibMembership/ContactRow.h>
#include <LibMembership/CrashSuspectSet.h>
#include <LibMembership/MemberSync.h>
#include <LibMembership/MembershipTable.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Fuchsiastep {

/// Joins the fleet through the contact rows of the platform's table, answers members that join, and refreshes the
/// contact rows for which the rendezvous hash selects this proxy.
class ContactKeeper
{
public:
    /// \a table, \a suspects, \a clock and \a random must outlive the object.
    ContactKeeper(
        ContactKeeperSettings settings, const MembershipTable &table, const CrashSuspectSet &suspects, const Clock &clock, Random &random);

    std::vector<ContactKeeperOutput> handle(const ContactKeeperInput &input);
    std::vector<ContactKeeperOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

    /// True once a contact has answered.
    bool isJoined() const
    {
        return m_isJoined;
    }

private:
    void accept(const PlatformReply &reply);
    void accept(const PeerFrame &frame);
    void accept(const PlatformRestored &restored);
    void scanned(const PlatformResponse &response);
    void answerJoin(const std::string &peer, const MemberSync &request);
    void acceptJoinAnswer(const MemberSync &answer);
    void scan();
    void askContacts(std::vector<Contact> contacts);
    void askForCrashSuspects(const std::vector<Contact> &contacts);
    void askUnknownDataCentres(const std::vector<Contact> &contacts);
    void refresh();
    void resync();
    void call(PlatformRequest request);
    Frame joinRequest() const;
    std::vector<std::size_t> ownSlots() const;
    std::vector<ContactKeeperOutput> takeOutputs();

    ContactKeeperSettings m_settings;
    const MembershipTable &m_table;
    const CrashSuspectSet &m_suspects;
    const Clock &m_clock;
    Random &m_random;
    Backoff m_backoff;
    bool m_isJoined = false;
    std::uint64_t m_nextCall = 1;
    std::optional<std::uint64_t> m_scanCall;
    /// The next scan by a member that has not joined; nothing once it has.
    std::optional<TimePoint> m_nextScan;
    TimePoint m_nextRefresh;
    TimePoint m_nextResync;
    std::vector<ContactKeeperOutput> m_outputs;
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Backoff.h>
#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibMembership/DepartureStoreMessages.h>
#include <LibMembership/MembershipTable.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

struct DepartureStoreSettings
{
    /// Time in which the proxies write their rows again after the platform came back from an older copy.
    Duration restoreSpread = std::chrono::seconds(1);
    /// Waits after failures.
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration backoffCap = std::chrono::seconds(2);
};

/// Key of the row that holds the last departure at a proxy.
std::string departureKey(std::string_view proxyId);

/// Stores the departure of the own member record in a row of the platform, so that it survives a failure of this proxy and of
/// the members that hold it. Each proxy has one row. A starting proxy reads it when its upstream announces itself before the
/// proxy has joined; waiting for the join would leave the upstream unused for up to half a second. When the tombstone of
/// a member expires, one member of its data centre removes the row, in one attempt.
class DepartureStore
{
public:
    /// \a table, \a clock and \a random must outlive the object.
    DepartureStore(DepartureStoreSettings settings, const MembershipTable &table, const Clock &clock, Random &random);

    std::vector<DepartureStoreOutput> handle(const DepartureStoreInput &input);
    std::vector<DepartureStoreOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

private:
    void accept(const DepartureHistoryWanted &wanted);
    void accept(const DepartureExpired &expired);
    void accept(const PlatformRestored &restored);
    void accept(const PlatformReply &reply);
    void acceptRead(const PlatformResponse &response);
    void acceptWrite(const PlatformResponse &response);
    bool isCallDue() const;
    CallId call(PlatformRequest request);

    DepartureStoreSettings m_settings;
    const MembershipTable &m_table;
    const Clock &m_clock;
    Random &m_random;
    Backoff m_backoff;
    /// What the row is known to hold, and what the write in progress puts there.
    std::optional<DepartedUpstream> m_stored;
    std::optional<DepartedUpstream> m_written;
    bool m_isReadWanted = false;
    TimePoint m_nextCallAt;
    std::optional<CallId> m_readCall;
    std::optional<CallId> m_writeCall;
    CallId m_nextCall = 1;
    std::vector<DepartureStoreOutput> m_outputs;
};

} // namespace Fuchsiastep

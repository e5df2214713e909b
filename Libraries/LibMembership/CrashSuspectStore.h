#pragma once

#include <LibConfiguration/Backoff.h>
#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibMembership/CrashSuspectSet.h>
#include <LibMembership/CrashSuspectStoreMessages.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fuchsiastep {

struct CrashSuspectStoreSettings
{
    /// Time in which changes are collected before they are written.
    Duration writeDelay = std::chrono::milliseconds(100);
    /// Time in which the proxies check the row after the platform came back from an older copy.
    Duration restoreSpread = std::chrono::seconds(1);
    /// Waits after failures and conflicts.
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration backoffCap = std::chrono::seconds(2);
    /// Entries that the row keeps, those with the latest crashes.
    std::size_t maximumEntries = 64;
    /// Open crashes from which a request is kept; fewer change no decision.
    std::size_t minimumCrashes = 2;
};

/// Keeps crash suspects in a row of the platform, so that they outlast a failure of every proxy. The row lies beside the
/// contacts, which a starting proxy scans anyway. The proxies that have observed a crash write it, with one conditional
/// write for each change.
class CrashSuspectStore
{
public:
    /// \a suspects, \a clock and \a random must outlive the object.
    CrashSuspectStore(CrashSuspectStoreSettings settings, const CrashSuspectSet &suspects, const Clock &clock, Random &random);

    std::vector<CrashSuspectStoreOutput> handle(const CrashSuspectStoreInput &input);
    std::vector<CrashSuspectStoreOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

private:
    void accept(const CrashObserved &observed);
    void accept(const CrashSuspectRow &found);
    void accept(const PlatformRestored &restored);
    void accept(const PlatformReply &reply);
    void acceptRead(const PlatformResponse &response);
    void acceptWrite(const PlatformResponse &response);
    void learn(const Row &row);
    /// Entries of observed crashes that the row does not contain yet.
    std::vector<CrashSuspectEntry> missingEntries() const;
    void write();
    void retry();
    CallId call(PlatformRequest request);

    CrashSuspectStoreSettings m_settings;
    const CrashSuspectSet &m_suspects;
    const Clock &m_clock;
    Random &m_random;
    Backoff m_backoff;
    /// Requests whose crashes this proxy has observed.
    std::set<std::uint64_t> m_observed;
    /// What the row held when it was last read or written.
    std::map<std::uint64_t, CrashSuspectEntry> m_stored;
    std::uint64_t m_rowRevision = 0;
    /// Revision of the set for which it was last checked whether something has to be written.
    std::uint64_t m_checkedRevision = 0;
    std::optional<TimePoint> m_nextRead;
    std::optional<CallId> m_readCall;
    std::optional<CallId> m_writeCall;
    CallId m_nextCall = 1;
    std::vector<CrashSuspectStoreOutput> m_outputs;
};

} // namespace Fuchsiastep

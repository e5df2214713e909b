#pragma once

#include <LibRequest/ClaimMessages.h>
#include <LibRequest/ClaimRecord.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fuchsiastep {

/// Lets each key run at most once, by a row of the platform's table that is inserted before the upstream is
/// touched. A claim belongs to one attempt and never expires. Where the platform comes back from an older copy, the rows of
/// running requests and of recent outcomes are written again; until then a request with such a key can run a second time.
class ClaimLedger
{
public:
    struct Settings
    {
        std::string proxyId;
        std::uint64_t incarnation = 0;
        /// Claims, and likewise outcomes and releases, that arise within this time go into one transaction.
        Duration groupTime = std::chrono::milliseconds(3);
        std::size_t maximumGroup = 32;
        /// Outcomes in one transaction, in bytes; a longer one goes alone.
        std::size_t maximumGroupBytes = 256ULL * 1024;
        Duration firstPoll = std::chrono::milliseconds(10);
        Duration longestPoll = std::chrono::milliseconds(500);
        Duration firstWriteRetry = std::chrono::milliseconds(50);
        Duration longestWriteRetry = std::chrono::seconds(5);
        /// A call without a reply for this time counts as PlatformOutcomeUnknown.
        Duration callTimeout = std::chrono::seconds(3);
        /// Bodies up to this length are stored in the row, others in an object.
        std::size_t maximumRowBody = 64ULL * 1024;
        /// An outcome that was written is kept for this long, and within this size together, in case the platform loses it.
        Duration recentTime = std::chrono::seconds(30);
        std::uint64_t maximumRecentBytes = 4ULL * 1024 * 1024;
        /// Outcomes and releases that wait for the platform.
        std::size_t maximumWrites = 1024;
        std::uint64_t maximumWriteBytes = 16ULL * 1024 * 1024;
    };

    ClaimLedger(Settings settings, const Clock &clock, Random &random);

    std::vector<ClaimOutput> handle(const ClaimInput &input);
    /// Sends groups, polls and retries that are due, and settles claims past their deadline.
    std::vector<ClaimOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

    /// No claim is held and nothing waits to be written.
    bool isIdle() const;
    std::size_t pendingWrites() const;
    std::uint64_t pendingWriteBytes() const;

private:
    enum class Stage {
        /// Waits for the next group.
        Grouping,
        Inserting,
        /// Waits for the time of the next read.
        Waiting,
        Reading,
        FetchingBody,
        Owned,
    };
    struct Claim
    {
        std::string service;
        std::string key;
        std::string rowKey;
        ClaimRecord record;
        TimePoint deadline;
        Stage stage = Stage::Grouping;
        /// Revision that the insert expects: 0, or that of a released row.
        std::uint64_t expectedRevision = 0;
        /// Revision of the owned row.
        std::uint64_t ownedRevision = 0;
        /// An insert was sent whose result is not known; it may take effect even later.
        bool isInsertUnresolved = false;
        /// A row of another attempt was seen, so that the key may have run.
        bool hasSeenOther = false;
        std::uint32_t reads = 0;
        TimePoint wakeAt;
        /// The stored outcome whose body is being fetched.
        ClaimRecord stored;
    };
    /// A conditional write of an own row that is repeated until it has an effect or cannot have one.
    struct Write
    {
        std::string rowKey;
        std::string objectName;
        std::string objectContent;
        bool isObjectWritten = true;
        ClaimRecord record;
        std::uint64_t expectedRevision = 0;
        std::uint32_t failures = 0;
        std::optional<TimePoint> wakeAt;
    };
    enum class CallKind {
        Insert,
        Read,
        FetchBody,
        WriteObject,
        WriteRows,
    };
    struct RecentWrite
    {
        TimePoint until;
        Write write;
    };
    struct Call
    {
        CallKind kind;
        /// Local ids, or write ids for WriteObject and WriteRows.
        std::vector<std::uint64_t> ids;
        TimePoint timeoutAt;
    };

    void apply(const ClaimWanted &wanted);
    void apply(const ClaimFinished &finished);
    void apply(const ClaimAbandoned &abandoned);
    void apply(const PlatformRestored &restored);
    void apply(const PlatformReply &reply);

    void joinGroup(LocalId localId, Claim &claim);
    void sendGroup();
    void onInsertReply(const std::vector<LocalId> &localIds, const PlatformResponse &response);
    void onInsertFailure(LocalId localId, Claim &claim, ErrorCode code);
    void onReadReply(LocalId localId, const PlatformResponse &response);
    void onBodyReply(LocalId localId, const PlatformResponse &response);
    void onObjectWritten(std::uint64_t writeId, const PlatformResponse &response);
    void sendWriteGroup();
    void onRowsWritten(const std::vector<std::uint64_t> &writeIds, const PlatformResponse &response);
    void onWriteConflict(std::uint64_t writeId, Write &write, const Row &row);
    /// Decides by the current row of the key.
    void consider(LocalId localId, Claim &claim, const Row &row);
    void considerOther(LocalId localId, Claim &claim, const Row &row, const ClaimRecord &other);
    void read(LocalId localId, Claim &claim);
    void readLater(LocalId localId, Claim &claim);
    void own(LocalId localId, Claim &claim, std::uint64_t revision);
    void settleStored(LocalId localId, const ClaimRecord &stored);
    void settle(LocalId localId, ClaimVerdict verdict, ErrorCode code, std::string detail);
    /// Forgets a claim that does not own its row; a row that its insert may have left is released.
    void forget(LocalId localId);
    void expire(LocalId localId, const Claim &claim);
    void addWrite(Write write);
    void sendWrite(std::uint64_t writeId, Write &write);
    void retryWrite(std::uint64_t writeId, Write &write);
    void eraseWrite(std::uint64_t writeId);
    static std::uint64_t bytesOf(const Write &write);
    void rememberOutcome(const Write &write);
    void forgetOldOutcomes();
    void call(CallKind kind, std::vector<std::uint64_t> ids, PlatformRequest request);
    void dispatchReply(const Call &call, const PlatformResponse &response);
    std::vector<ClaimOutput> takeOutputs();

    Settings m_settings;
    const Clock &m_clock;
    Random &m_random;

    std::unordered_map<LocalId, Claim> m_claims;
    /// The local claim that inserts or owns a row; others for the same key wait.
    std::unordered_map<std::string, LocalId> m_owners;
    std::vector<LocalId> m_group;
    std::optional<TimePoint> m_groupDue;
    std::set<std::pair<TimePoint, LocalId>> m_wakes;
    std::set<std::pair<TimePoint, LocalId>> m_deadlines;
    std::map<std::uint64_t, Write> m_writes;
    std::set<std::pair<TimePoint, std::uint64_t>> m_writeWakes;
    std::vector<std::uint64_t> m_writeGroup;
    std::optional<TimePoint> m_writeGroupDue;
    std::uint64_t m_writeBytes = 0;
    /// The oldest first.
    std::deque<RecentWrite> m_recentOutcomes;
    std::uint64_t m_recentBytes = 0;
    std::unordered_map<CallId, Call> m_calls;
    std::set<std::pair<TimePoint, CallId>> m_callTimeouts;
    std::uint64_t m_nextAttempt = 1;
    std::uint64_t m_nextWriteId = 1;
    CallId m_nextCallId = 1;
    std::vector<ClaimOutput> m_outputs;
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Backoff.h>
#include <LibConfiguration/ChangeCommitterMessages.h>
#include <LibConfiguration/ChangeCommitterSettings.h>
#include <LibConfiguration/ChangeRow.h>
#include <LibConfiguration/HeadRow.h>
#include <LibConfiguration/ObjectRow.h>
#include <LibCore/Clock.h>
#include <LibCore/Random.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Commits one operator's change as one transaction, and ends with exactly one ChangeAccepted or ChangeRefused.
/// The transaction holds only where the head and the objects touched are as they were read and the operation
/// is not yet recorded; so concurrent changes of other objects are rebased and changes of the same object refused.
/// After a transaction of unknown outcome the record of the operation is read before anything else is done.
class ChangeCommitter
{
public:
    using Outputs = std::vector<ChangeCommitterOutput>;

    ChangeCommitter(ChangeCommitterSettings settings, const Clock &clock, Random &random);

    Outputs handle(const ChangeCommitterInput &input);
    Outputs advance();
    /// Nothing once the final output was given.
    std::optional<TimePoint> nextDeadline() const;

private:
    enum class Step {
        Idle,
        ReadingState,
        ReadingChanges,
        Committing,
        ReadingAccepted,
        ReadingWinner,
        SearchingRemoval,
        Waiting,
        Finished,
    };
    /// An object that was not in the expected state.
    struct ConflictFound
    {
        ObjectName name;
        std::optional<ObjectRow> current;
        ConfigurationVersion searchedUntil = 0;
    };

    void begin(const SubmitChange &submit);
    void onReply(const PlatformReply &reply);
    void onCallFailed(const Error &error);

    void readState();
    void onState(const Rows &rows);
    bool tryReadObjects(const Rows &rows);
    void catchUp();
    void onChanges(const Rows &rows);
    void decide();
    std::optional<std::size_t> findConflict() const;

    Result<ConfigurationDelta> tryBuildDelta() const;
    AuditEntry buildAudit() const;
    void validateAndCommit(const ConfigurationDelta &delta);
    void commit(const ConfigurationDelta &delta);
    void onConflict(const Conflict &conflict);

    void readAccepted(ConfigurationVersion version);
    void onAcceptedRow(const Rows &rows);
    void resolveConflict(std::size_t changeIndex);
    void onWinnerRow(const Rows &rows);
    void searchRemoval();
    /// No change since the operator's version removed the object of the conflict, so that there is none.
    bool isConfirmedAsNotRemoved();
    void onRemovalRows(const Rows &rows);

    void call(PlatformRequest request, Step step);
    void retry(const Error &error);
    void accept(const ConfigurationDelta &delta);
    void refuse(const Error &error);
    void refuseConflict(const std::string &winner, ConfigurationVersion version);
    bool isSettled() const;
    bool isOwn(const ChangeRow &row) const;

    ChangeCommitterSettings m_settings;
    const Clock &m_clock;
    Random &m_random;
    Backoff m_backoff;

    OperatorChange m_change;
    Configuration::Pointer m_base;
    Step m_step = Step::Idle;
    std::uint32_t m_attempts = 0;
    CallId m_lastCallId = 0;
    std::optional<TimePoint> m_deadline;
    Outputs m_outputs;

    HeadRow m_head;
    std::uint64_t m_headRevision = 0;
    /// As read with the head, in the order of the changes; revision 0 and no row where there is no object.
    std::vector<std::uint64_t> m_objectRevisions;
    std::vector<std::optional<ObjectRow>> m_objects;
    /// Leads from the base to the newest version read.
    std::vector<ConfigurationDelta> m_missing;
    /// Set once the record of the operation was seen; from then on a refusal would be wrong.
    std::optional<ConfigurationVersion> m_acceptedVersion;
    ConflictFound m_conflict;
    /// Changes whose missing object was not removed since the operator's version.
    std::set<std::size_t> m_notRemoved;
    /// The version that a transaction of unknown outcome would have written.
    std::optional<ConfigurationVersion> m_unknownVersion;
};

} // namespace Fuchsiastep

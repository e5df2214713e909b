#pragma once

#include <LibConfiguration/Backoff.h>
#include <LibConfiguration/ConfigurationReaderMessages.h>
#include <LibConfiguration/ConfigurationReaderSettings.h>
#include <LibConfiguration/HeadRow.h>
#include <LibCore/Clock.h>
#include <LibCore/Random.h>

#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Follows the head of the configuration in the platform's table while the proxy is a reader. At most one call is
/// in progress. Every configuration found is newer than all before, complete and valid.
class ConfigurationReader
{
public:
    using Outputs = std::vector<ConfigurationReaderOutput>;

    ConfigurationReader(ConfigurationReaderSettings settings, const Clock &clock, Random &random);

    Outputs handle(const ConfigurationReaderInput &input);
    Outputs advance();
    std::optional<TimePoint> nextDeadline() const;

    const ConfigurationReaderCounters &counters() const;
    /// The newest configuration found or held.
    const Configuration::Pointer &known() const;

private:
    enum class Step {
        Idle,
        ReadingHead,
        ReadingChanges,
        ReadingSnapshot,
        ScanningObjects,
        CheckingScan,
        StoringSnapshot,
    };
    struct PendingSnapshot
    {
        ConfigurationVersion version = 0;
        std::string content;
    };

    void onRole(const ReaderRole &role);
    void onNudge(const VersionNudge &nudge);
    void onHeld(const ConfigurationHeld &held);
    void onRestored();
    void onReply(const PlatformReply &reply);
    void onRows(const std::vector<Row> &rows);
    void onSnapshotRead(const PlatformResponse &response);
    void onSnapshotStored(const PlatformResponse &response);
    void onCallFailed(const Error &error);
    void fail(const Error &error);
    void call(PlatformRequest request, Step step);
    void startDueWork();
    bool isBehind() const;

    /// Nothing where the row cannot be read or is older than what was read before.
    std::optional<HeadRow> acceptHead(const std::vector<Row> &rows);
    void onHead(const std::vector<Row> &rows);
    void readChanges();
    void onChanges(const std::vector<Row> &rows);
    bool takeChange(const Row &row);
    ConfigurationVersion reachedVersion() const;
    const Digest &reachedDigest() const;

    void startRebuild(ConfigurationVersion lowestUsable);
    void continueRebuild();
    void onObjectRows(const std::vector<Row> &rows);
    void onScanChecked(const std::vector<Row> &rows);
    void restartScan();
    void abandonWork();

    void flush();
    std::vector<const ConfigurationDelta *> chainOf(std::size_t length) const;
    /// The configuration that the first \a length pending changes lead to.
    Result<Configuration::Pointer> tryResultOf(std::size_t length) const;
    void publish(std::size_t length, const Configuration::Pointer &result);
    void planSnapshot(std::size_t length, const Configuration::Pointer &result);
    void report(ConfigurationVersion version, const Error &error);

    ConfigurationReaderSettings m_settings;
    const Clock &m_clock;
    Random &m_random;
    Backoff m_backoff;
    Outputs m_outputs;
    ConfigurationReaderCounters m_counters;

    ReaderRole m_role;
    /// The newest configuration found or held.
    Configuration::Pointer m_known;
    /// Where the pending changes start: the known configuration, or a snapshot that is not found yet because its
    /// digest is not yet confirmed by the head.
    Configuration::Pointer m_base;
    std::vector<ConfigurationDelta> m_pending;
    /// The highest head that was read.
    HeadRow m_head;
    /// When the pending changes are found as one.
    std::optional<TimePoint> m_flushAt;

    Step m_step = Step::Idle;
    CallId m_lastCallId = 0;
    TimePoint m_callDeadline;
    TimePoint m_nextPoll;
    /// No call is made before this, after a failure.
    TimePoint m_retryAt;
    std::uint32_t m_missingRowReads = 0;
    ConfigurationVersion m_highestReported = 0;
    std::optional<ConfigurationVersion> m_reportedBehind;

    bool m_isRebuilding = false;
    /// Snapshots that are still to be tried, the best one last.
    std::vector<ConfigurationVersion> m_snapshotCandidates;
    std::vector<DeclaredObject> m_scannedObjects;
    std::string m_scannedUntil;

    std::optional<PendingSnapshot> m_snapshot;
    Backoff m_snapshotBackoff;
    TimePoint m_snapshotRetryAt;
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Backoff.h>
#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibPlatform/PlatformCall.h>
#include <LibPlatform/PlatformEra.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Fuchsiastep {

struct DocumentReaderSettings
{
    /// Key of the row that holds the whole configuration as one document.
    std::string key;
    /// Longest time that a watch of the first reader of a data centre waits for a change. A watch that the platform has
    /// lost looks like one without a change until then, so that this bounds how late the data centre learns of one.
    Duration watchTime = std::chrono::seconds(1);
    /// The same for the first reader alone, where its answers have to confirm that the document is still the newest.
    Duration firstWatchTime = std::chrono::seconds(1);
    /// Least time between two watches, for a platform that answers them without waiting.
    Duration watchPause = std::chrono::milliseconds(50);
    /// Time between a change and the next watch. Of documents that follow each other quickly only the last one is read, so
    /// that they do not fill a slow link; a third of the time in which a change has to be in force.
    Duration changePause = std::chrono::milliseconds(700);
    /// Waits after failures. During an outage each proxy asks about once in the upper one.
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration backoffCap = std::chrono::seconds(1);
};

/// Input: the document is wanted now, whatever the watch does, because the proxy starts or was paused.
struct DocumentWanted
{ };

/// Input: whether this proxy watches the document for others. The others read it only when they want it.
struct WatchRole
{
    bool isWatching = true;
    /// Place in the order of the readers. The watches of each wait twice as long as those of the one before.
    std::uint32_t rank = 0;
};

/// Input: it matters whether the document last read is still the newest. Asked of the platform where no call is in progress.
struct DocumentConfirmationWanted
{ };

using DocumentReaderInput = std::variant<DocumentWanted, DocumentConfirmationWanted, WatchRole, PlatformRestored, PlatformReply>;

/// Output: the newest document. Given after each successful read and each change.
struct DocumentFound
{
    std::string content;
    std::uint64_t revision = 0;
};

/// Output: the document last found was the newest one when the call was sent, on the clock that counts suspensions. Follows a
/// DocumentFound of the same answer.
struct DocumentConfirmed
{
    std::uint64_t sentAtMs = 0;
};

/// Output: the platform was read, and has no document yet.
struct DocumentMissing
{ };

/// Output: the platform cannot be read; it is read again after a backoff.
struct DocumentFailure
{
    Error error;
};

using DocumentReaderOutput = std::variant<PlatformCall, DocumentFound, DocumentConfirmed, DocumentMissing, DocumentFailure>;

/// Follows a configuration that operators write as one document into one row. It reads the row once and then watches
/// it, so that a change costs one answer. Watches are short: one that is never answered must not delay the changes that
/// follow. Every failure leads back to a read, because changes may have been missed, and so does a platform that came back
/// from an older copy: a watch after one of its earlier revisions misses what is written below it.
class DocumentReader
{
public:
    DocumentReader(DocumentReaderSettings settings, const Clock &clock, Random &random);

    std::vector<DocumentReaderOutput> handle(const DocumentReaderInput &input);
    /// Starts the read or watch that is due.
    std::vector<DocumentReaderOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

private:
    void accept(const DocumentWanted &wanted);
    void accept(const DocumentConfirmationWanted &wanted);
    void accept(const WatchRole &role);
    void accept(const PlatformRestored &restored);
    void accept(const PlatformReply &reply);
    void acceptRead(const PlatformResponse &response);
    void acceptWatch(const PlatformResponse &response);
    bool findDocument(const std::vector<Row> &rows);
    void scheduleWatch(std::uint64_t revision, bool hasChanged);
    Duration watchTime() const;
    void fail(const PlatformResponse &response, bool isOverdue);
    void confirm(std::uint64_t sentAtMs);
    CallId call(PlatformRequest request);
    std::vector<DocumentReaderOutput> takeOutputs();

    DocumentReaderSettings m_settings;
    const Clock &m_clock;
    Random &m_random;
    Backoff m_backoff;
    CallId m_nextCall = 1;
    std::optional<CallId> m_readCall;
    std::optional<CallId> m_watchCall;
    std::uint64_t m_readSentAtMs = 0;
    std::uint64_t m_watchSentAtMs = 0;
    /// A document was found, so that a watch without a change confirms it.
    bool m_hasDocument = false;
    /// When the watch in progress is answered at the latest, by a platform that has not lost it.
    TimePoint m_watchDue;
    std::optional<TimePoint> m_nextRead;
    std::optional<TimePoint> m_nextWatch;
    bool m_isWatching = true;
    std::uint32_t m_rank = 0;
    std::uint64_t m_watchedRevision = 0;
    std::vector<DocumentReaderOutput> m_outputs;
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Backoff.h>
#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibPlatform/PlatformCall.h>

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
    /// Longest time that one watch waits for a change.
    Duration watchTime = std::chrono::seconds(20);
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
};

using DocumentReaderInput = std::variant<DocumentWanted, WatchRole, PlatformReply>;

/// Output: the newest document. Given after each successful read and each change.
struct DocumentFound
{
    std::string content;
    std::uint64_t revision = 0;
};

/// Output: the platform was read, and has no document yet.
struct DocumentMissing
{ };

/// Output: the platform cannot be read; it is read again after a backoff.
struct DocumentFailure
{
    Error error;
};

using DocumentReaderOutput = std::variant<PlatformCall, DocumentFound, DocumentMissing, DocumentFailure>;

/// Follows a configuration that operators write as one document into one row. It reads the row once and then watches
/// it, so that a change costs one answer and a calm minute a few calls. Every failure leads back to a read, because
/// changes may have been missed.
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
    void accept(const WatchRole &role);
    void accept(const PlatformReply &reply);
    void acceptRead(const PlatformResponse &response);
    void acceptWatch(const PlatformResponse &response);
    bool findDocument(const std::vector<Row> &rows);
    void scheduleWatch(std::uint64_t revision, bool hasChanged);
    void fail(const PlatformResponse &response);
    CallId call(PlatformRequest request);
    std::vector<DocumentReaderOutput> takeOutputs();

    DocumentReaderSettings m_settings;
    const Clock &m_clock;
    Random &m_random;
    Backoff m_backoff;
    CallId m_nextCall = 1;
    std::optional<CallId> m_readCall;
    std::optional<CallId> m_watchCall;
    std::optional<TimePoint> m_nextRead;
    std::optional<TimePoint> m_nextWatch;
    bool m_isWatching = true;
    std::uint64_t m_watchedRevision = 0;
    std::vector<DocumentReaderOutput> m_outputs;
};

} // namespace Fuchsiastep

#include <LibConfiguration/DocumentReader.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

DocumentReader::DocumentReader(DocumentReaderSettings settings, const Clock &clock, Random &random)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_random(random)
    , m_backoff(m_settings.firstBackoff, m_settings.backoffCap)
    , m_nextRead(clock.now())
{ }

std::vector<DocumentReaderOutput> DocumentReader::handle(const DocumentReaderInput &input)
{
    std::visit([this](const auto &message) { accept(message); }, input);
    return takeOutputs();
}

std::vector<DocumentReaderOutput> DocumentReader::advance()
{
    const TimePoint now = m_clock.now();
    if (m_nextRead && now >= *m_nextRead) {
        m_nextRead.reset();
        m_readSentAtMs = m_clock.uninterruptedMilliseconds();
        m_readCall = call(ReadRows {{m_settings.key}});
    }
    if (m_nextWatch && now >= *m_nextWatch) {
        m_nextWatch.reset();
        m_watchDue = now + watchTime();
        m_watchSentAtMs = m_clock.uninterruptedMilliseconds();
        m_watchCall = call(WatchRows {m_settings.key, m_watchedRevision, watchTime()});
    }
    return takeOutputs();
}

std::optional<TimePoint> DocumentReader::nextDeadline() const
{
    if (m_nextRead && m_nextWatch) {
        return std::min(*m_nextRead, *m_nextWatch);
    }
    return m_nextRead ? m_nextRead : m_nextWatch;
}

void DocumentReader::accept(const DocumentWanted &)
{
    if (!m_readCall) {
        m_nextRead = m_clock.now();
    }
}

void DocumentReader::accept(const DocumentConfirmationWanted &)
{
    if (m_readCall || m_watchCall || m_nextRead) {
        return;
    }
    if (!m_hasDocument) {
        m_nextRead = m_clock.now();
        return;
    }
    m_watchDue = m_clock.now();
    m_watchSentAtMs = m_clock.uninterruptedMilliseconds();
    m_watchCall = call(WatchRows {m_settings.key, m_watchedRevision, Duration(0)});
}

void DocumentReader::accept(const WatchRole &role)
{
    const bool hasBegun = role.isWatching && !m_isWatching;
    m_isWatching = role.isWatching;
    m_rank = role.rank;
    if (hasBegun) {
        // Changes may have come since the last read.
        accept(DocumentWanted {});
    } else if (!m_isWatching) {
        m_nextWatch.reset();
    } else if (m_watchCall && m_clock.now() + watchTime() < m_watchDue) {
        m_watchCall.reset();
        m_nextWatch = m_clock.now();
    }
}

void DocumentReader::accept(const PlatformRestored &)
{
    const bool isWanted = m_isWatching || m_readCall || m_nextRead;
    // What is in progress may be answered from either era.
    m_readCall.reset();
    m_watchCall.reset();
    m_nextWatch.reset();
    m_watchedRevision = 0;
    m_hasDocument = false;
    if (isWanted) {
        m_nextRead = m_clock.now();
    }
}

Duration DocumentReader::watchTime() const
{
    // Watches beyond 16 s would save hardly any calls.
    constexpr std::uint32_t MaximumDoublings = 4;
    if (m_rank == 0) {
        return std::min(m_settings.firstWatchTime, m_settings.watchTime);
    }
    return m_settings.watchTime * (1U << std::min(m_rank, MaximumDoublings));
}

void DocumentReader::accept(const PlatformReply &reply)
{
    if (m_readCall == reply.id) {
        m_readCall.reset();
        acceptRead(reply.response);
    } else if (m_watchCall == reply.id) {
        m_watchCall.reset();
        acceptWatch(reply.response);
    }
}

void DocumentReader::acceptRead(const PlatformResponse &response)
{
    const auto *rows = std::get_if<Rows>(&response);
    if (rows == nullptr) {
        fail(response, false);
        return;
    }
    m_backoff.reset();
    if (findDocument(rows->rows)) {
        confirm(m_readSentAtMs);
    } else {
        m_outputs.emplace_back(DocumentMissing {});
    }
    // A watch after a later revision was begun before the platform went back.
    if (!m_watchCall || rows->revision < m_watchedRevision) {
        m_watchCall.reset();
        scheduleWatch(rows->revision, false);
    }
}

void DocumentReader::acceptWatch(const PlatformResponse &response)
{
    const auto *changes = std::get_if<RowsChanged>(&response);
    // A lower revision means that the platform was restored, also where its answers have no era.
    const bool hasGoneBack = changes != nullptr && changes->revision < m_watchedRevision;
    if (hasGoneBack || std::holds_alternative<HistoryGone>(response)) {
        m_nextRead = m_clock.now();
    } else if (changes != nullptr) {
        m_backoff.reset();
        const bool hasChanged = findDocument(changes->rows);
        confirm(m_watchSentAtMs);
        scheduleWatch(changes->revision, hasChanged);
    } else {
        fail(response, m_clock.now() >= m_watchDue);
    }
}

bool DocumentReader::findDocument(const std::vector<Row> &rows)
{
    const auto found =
        std::find_if(rows.rbegin(), rows.rend(), [this](const Row &row) { return row.key == m_settings.key && row.revision > 0; });
    if (found != rows.rend()) {
        m_outputs.emplace_back(DocumentFound {found->value, found->revision});
    }
    m_hasDocument = m_hasDocument || found != rows.rend();
    return found != rows.rend();
}

void DocumentReader::confirm(std::uint64_t sentAtMs)
{
    if (m_hasDocument) {
        m_outputs.emplace_back(DocumentConfirmed {sentAtMs});
    }
}

void DocumentReader::scheduleWatch(std::uint64_t revision, bool hasChanged)
{
    m_watchedRevision = revision;
    if (!m_isWatching) {
        return;
    }
    m_nextWatch = m_clock.now() + (hasChanged ? m_settings.changePause : m_settings.watchPause);
}

void DocumentReader::fail(const PlatformResponse &response, bool isOverdue)
{
    const auto *failure = std::get_if<PlatformFailure>(&response);
    m_outputs.emplace_back(
        DocumentFailure {failure != nullptr ? failure->error : Error {ErrorCode::PlatformMalformedAnswer, "an answer of another kind"}});
    if (!m_readCall && !m_nextRead) {
        // The overdue watch has delayed this read already.
        m_nextRead = m_clock.now() + (isOverdue ? Duration(0) : m_backoff.next(m_random));
    }
}

CallId DocumentReader::call(PlatformRequest request)
{
    const CallId id = m_nextCall++;
    m_outputs.emplace_back(PlatformCall {id, std::move(request)});
    return id;
}

std::vector<DocumentReaderOutput> DocumentReader::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

} // namespace Fuchsiastep

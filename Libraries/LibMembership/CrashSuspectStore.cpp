#include <LibMembership/CrashSuspectStore.h>

#include <LibCore/Result.h>
#include <LibMembership/ContactRow.h>
#include <LibMembership/CrashSuspectCodec.h>

#include <algorithm>
#include <utility>

namespace Fuchsiastep {

CrashSuspectStore::CrashSuspectStore(
    CrashSuspectStoreSettings settings, const CrashSuspectSet &suspects, const Clock &clock, Random &random)
    : m_settings(settings)
    , m_suspects(suspects)
    , m_clock(clock)
    , m_random(random)
    , m_backoff(m_settings.firstBackoff, m_settings.backoffCap)
{ }

std::vector<CrashSuspectStoreOutput> CrashSuspectStore::handle(const CrashSuspectStoreInput &input)
{
    std::visit([this](const auto &message) { accept(message); }, input);
    return std::exchange(m_outputs, {});
}

std::vector<CrashSuspectStoreOutput> CrashSuspectStore::advance()
{
    const TimePoint now = m_clock.now();
    if (m_checkedRevision != m_suspects.revision()) {
        m_checkedRevision = m_suspects.revision();
        if (!m_nextRead && !missingEntries().empty()) {
            m_nextRead = now + m_settings.writeDelay;
        }
    }
    if (m_nextRead && now >= *m_nextRead && !m_readCall && !m_writeCall) {
        m_nextRead.reset();
        m_readCall = call(ReadRows {{std::string(CrashSuspectsKey)}});
    }
    return std::exchange(m_outputs, {});
}

std::optional<TimePoint> CrashSuspectStore::nextDeadline() const
{
    if (!m_observed.empty() && m_checkedRevision != m_suspects.revision()) {
        return m_clock.now();
    }
    return m_readCall || m_writeCall ? std::nullopt : m_nextRead;
}

void CrashSuspectStore::accept(const CrashObserved &observed)
{
    for (const std::uint64_t fingerprint : observed.fingerprints) {
        if (m_observed.size() < CrashSuspectSet::MaximumEntries) {
            m_observed.insert(fingerprint);
        }
    }
    m_checkedRevision = 0;
}

void CrashSuspectStore::accept(const CrashSuspectRow &found)
{
    learn(found.row);
}

void CrashSuspectStore::accept(const PlatformRestored &)
{
    // Whether the row still has what was written is not known, and its revision may be that of another content now.
    m_stored.clear();
    m_rowRevision = 0;
    m_readCall.reset();
    m_writeCall.reset();
    m_nextRead.reset();
    if (!missingEntries().empty()) {
        m_nextRead = m_clock.now() + m_random.jitter(m_settings.restoreSpread);
    }
}

void CrashSuspectStore::accept(const PlatformReply &reply)
{
    if (m_readCall == reply.id) {
        m_readCall.reset();
        acceptRead(reply.response);
    } else if (m_writeCall == reply.id) {
        m_writeCall.reset();
        acceptWrite(reply.response);
    }
}

void CrashSuspectStore::acceptRead(const PlatformResponse &response)
{
    const auto *rows = std::get_if<Rows>(&response);
    if (rows == nullptr || rows->rows.empty()) {
        retry();
        return;
    }
    m_backoff.reset();
    learn(rows->rows.front());
    if (!missingEntries().empty()) {
        write();
    }
}

void CrashSuspectStore::acceptWrite(const PlatformResponse &response)
{
    if (std::holds_alternative<Committed>(response)) {
        m_backoff.reset();
        return;
    }
    // Another proxy wrote first, or the outcome is unknown; the next read resolves it.
    m_stored.clear();
    retry();
}

void CrashSuspectStore::learn(const Row &row)
{
    m_stored.clear();
    m_rowRevision = row.revision;
    if (row.revision == 0) {
        return;
    }
    const Result<std::vector<CrashSuspectEntry>> stored = tryDecodeStoredCrashSuspects(row.value, m_clock.unixMilliseconds());
    if (isError(stored)) {
        m_outputs.emplace_back(StoredCrashSuspectsRejected {errorOf(stored)});
        return;
    }
    for (const CrashSuspectEntry &entry : valueOf(stored)) {
        m_stored[entry.fingerprint] = entry;
    }
    m_outputs.emplace_back(MergeCrashSuspects {valueOf(stored), false});
}

std::vector<CrashSuspectEntry> CrashSuspectStore::missingEntries() const
{
    std::vector<CrashSuspectEntry> missing;
    for (const std::uint64_t fingerprint : m_observed) {
        const std::optional<CrashSuspectEntry> known = m_suspects.find(fingerprint);
        const auto stored = m_stored.find(fingerprint);
        const bool isStored = stored != m_stored.end();
        if (!known || (!isStored && known->openCrashes() < m_settings.minimumCrashes)) {
            continue;
        }
        if (!isStored || !mergedCrashSuspect(stored->second, *known).hasSameCrashes(stored->second)) {
            missing.push_back(*known);
        }
    }
    return missing;
}

void CrashSuspectStore::write()
{
    for (const CrashSuspectEntry &entry : missingEntries()) {
        CrashSuspectEntry &stored = m_stored.try_emplace(entry.fingerprint, entry).first->second;
        stored = mergedCrashSuspect(stored, entry);
    }
    std::vector<CrashSuspectEntry> entries;
    for (const auto &[fingerprint, entry] : m_stored) {
        if (entry.sinceLastCrash() <= CrashSuspectSet::MaximumAge) {
            entries.push_back(entry);
        }
    }
    std::sort(entries.begin(), entries.end(), [](const CrashSuspectEntry &left, const CrashSuspectEntry &right) {
        return left.sinceLastCrash() < right.sinceLastCrash();
    });
    entries.resize(std::min(entries.size(), m_settings.maximumEntries));
    m_writeCall = call(Transaction {{{std::string(CrashSuspectsKey), m_rowRevision}},
        {{std::string(CrashSuspectsKey), encodeStoredCrashSuspects(entries, m_clock.unixMilliseconds())}}});
}

void CrashSuspectStore::retry()
{
    if (!missingEntries().empty()) {
        m_nextRead = m_clock.now() + m_backoff.next(m_random);
    }
}

CallId CrashSuspectStore::call(PlatformRequest request)
{
    const CallId id = m_nextCall++;
    m_outputs.emplace_back(PlatformCall {id, std::move(request)});
    return id;
}

} // namespace Fuchsiastep

#include <LibMembership/DepartureStore.h>

#include <LibCore/Result.h>
#include <LibMembership/MemberRecordCodec.h>
#include <LibMembership/RendezvousHash.h>

#include <utility>

namespace Fuchsiastep {

std::string departureKey(std::string_view proxyId)
{
    return "departure/" + std::string(proxyId);
}

DepartureStore::DepartureStore(DepartureStoreSettings settings, const MembershipTable &table, const Clock &clock, Random &random)
    : m_settings(settings)
    , m_table(table)
    , m_clock(clock)
    , m_random(random)
    , m_backoff(m_settings.firstBackoff, m_settings.backoffCap)
    , m_nextCallAt(clock.now())
{ }

std::vector<DepartureStoreOutput> DepartureStore::handle(const DepartureStoreInput &input)
{
    std::visit([this](const auto &message) { accept(message); }, input);
    return std::exchange(m_outputs, {});
}

std::vector<DepartureStoreOutput> DepartureStore::advance()
{
    if (!isCallDue() || m_clock.now() < m_nextCallAt) {
        return {};
    }
    const std::string key = departureKey(m_table.self().proxyId);
    if (m_isReadWanted) {
        m_readCall = call(ReadRows {{key}});
    } else {
        m_written = m_table.self().departed;
        m_writeCall = call(Transaction {{}, {{key, encodeDepartedUpstream(*m_written)}}});
    }
    return std::exchange(m_outputs, {});
}

std::optional<TimePoint> DepartureStore::nextDeadline() const
{
    return isCallDue() ? std::optional(m_nextCallAt) : std::nullopt;
}

bool DepartureStore::isCallDue() const
{
    if (m_readCall || m_writeCall) {
        return false;
    }
    return m_isReadWanted || (m_table.self().departed && m_table.self().departed != m_stored);
}

void DepartureStore::accept(const DepartureHistoryWanted &)
{
    m_isReadWanted = true;
}

void DepartureStore::accept(const DepartureExpired &expired)
{
    const std::string key = departureKey(expired.proxyId);
    if (holdsRole(m_table, key, 1)) {
        call(Transaction {{}, {{key, std::nullopt}}});
    }
}

void DepartureStore::accept(const PlatformRestored &)
{
    // Whether the row still has what was written is not known.
    m_stored.reset();
    m_readCall.reset();
    m_writeCall.reset();
    m_nextCallAt = m_clock.now() + m_random.jitter(m_settings.restoreSpread);
}

void DepartureStore::accept(const PlatformReply &reply)
{
    if (m_readCall == reply.id) {
        m_readCall.reset();
        acceptRead(reply.response);
    } else if (m_writeCall == reply.id) {
        m_writeCall.reset();
        acceptWrite(reply.response);
    }
}

void DepartureStore::acceptRead(const PlatformResponse &response)
{
    const auto *rows = std::get_if<Rows>(&response);
    if (rows == nullptr || rows->rows.empty()) {
        m_nextCallAt = m_clock.now() + m_backoff.next(m_random);
        return;
    }
    m_backoff.reset();
    m_isReadWanted = false;
    const Row &row = rows->rows.front();
    if (row.revision != 0) {
        const Result<DepartedUpstream> departed = tryDecodeDepartedUpstream(row.value);
        if (isError(departed)) {
            m_outputs.emplace_back(StoredDepartureRejected {errorOf(departed)});
        } else {
            m_stored = valueOf(departed);
            m_outputs.emplace_back(StoredDeparture {*m_stored});
        }
    }
    m_outputs.emplace_back(DepartureHistoryKnown {});
}

void DepartureStore::acceptWrite(const PlatformResponse &response)
{
    if (!std::holds_alternative<Committed>(response)) {
        m_nextCallAt = m_clock.now() + m_backoff.next(m_random);
        return;
    }
    m_backoff.reset();
    m_stored = m_written;
}

CallId DepartureStore::call(PlatformRequest request)
{
    const CallId id = m_nextCall++;
    m_outputs.emplace_back(PlatformCall {id, std::move(request)});
    return id;
}

} // namespace Fuchsiastep

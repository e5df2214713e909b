#include "RunCounter.h"

#include <algorithm>

namespace Fuchsiastep {

std::uint64_t RunCounter::begin(const std::string &key)
{
    ++m_running;
    m_highestConcurrency = std::max(m_highestConcurrency, m_running);
    if (m_running > m_slots) {
        ++m_violations;
    }
    if (!key.empty()) {
        ++m_runsByKey[key];
    }
    return ++m_total;
}

void RunCounter::complete()
{
    --m_running;
    ++m_completed;
}

void RunCounter::cancel(CancelReason reason)
{
    --m_running;
    ++(reason == CancelReason::ClientGone ? m_cancelledByClient : m_cancelledByDeadline);
}

void RunCounter::refuse()
{
    ++m_refused;
}

JsonValue RunCounter::toJson() const
{
    JsonValue::Object byKey;
    std::uint64_t repeatedKeys = 0;
    for (const auto &[key, runs] : m_runsByKey) {
        byKey[key] = runs;
        repeatedKeys += runs > 1 ? 1 : 0;
    }
    return JsonValue::Object {
        {"total", m_total},
        {"completed", m_completed},
        {"running", static_cast<std::int64_t>(m_running)},
        {"refused", m_refused},
        {"cancelled_by_client", m_cancelledByClient},
        {"cancelled_by_deadline", m_cancelledByDeadline},
        {"highest_concurrency", static_cast<std::int64_t>(m_highestConcurrency)},
        {"concurrency_violations", m_violations},
        {"repeated_keys", repeatedKeys},
        {"by_key", std::move(byKey)},
    };
}

} // namespace Fuchsiastep

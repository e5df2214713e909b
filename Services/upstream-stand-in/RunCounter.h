#pragma once

#include "CancelReason.h"

#include <LibCore/JsonValue.h>

#include <cstdint>
#include <map>
#include <string>

namespace Fuchsiastep {

/// Counts runs, in total and by idempotency key, and how many ran at once.
class RunCounter
{
public:
    explicit RunCounter(std::uint32_t slots) : m_slots(slots)
    { }

    /// Counts a run as begun and returns its number, from 1.
    std::uint64_t begin(const std::string &key);
    void complete();
    void cancel(CancelReason reason);
    void refuse();

    std::uint32_t running() const
    {
        return m_running;
    }
    /// {"total","completed","running","refused","cancelled_by_client","cancelled_by_deadline",
    /// "highest_concurrency","concurrency_violations","repeated_keys","by_key":{key: runs}}
    JsonValue toJson() const;

private:
    std::uint32_t m_slots;
    std::uint32_t m_running = 0;
    std::uint32_t m_highestConcurrency = 0;
    /// Runs that began while every slot was in use.
    std::uint64_t m_violations = 0;
    std::uint64_t m_total = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_cancelledByClient = 0;
    std::uint64_t m_cancelledByDeadline = 0;
    std::map<std::string, std::uint64_t> m_runsByKey;
};

} // namespace Fuchsiastep

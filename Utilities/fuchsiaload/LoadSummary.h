#pragma once

#include "RequestResult.h"

#include <LibCore/JsonValue.h>

#include <array>
#include <map>
#include <vector>

namespace Fuchsiastep {

/// Counts and latencies of a run.
class LoadSummary
{
public:
    void add(const RequestResult &result);
    void addProblem(const std::string &text);
    /// Elapsed time and own processor time, both after the warm-up.
    void setTimes(Duration elapsed, Duration processorTime);

    std::uint64_t badAnswers() const
    {
        return m_badAnswers;
    }
    /// Share of the requests that were answered, in percent; 0 where there were none.
    double answeredPercent() const;

    JsonValue toJson() const;
    std::string toText() const;

private:
    /// Microseconds below or at which the given share of answered requests of a kind lies; the last index is all kinds.
    std::uint32_t percentile(std::size_t kind, double share) const;
    JsonValue latencyJson(std::size_t kind) const;
    double throughput() const;

    static constexpr std::size_t AllKinds = RequestKindCount;

    std::uint64_t m_requests = 0;
    std::array<std::uint64_t, 3> m_outcomes {};
    std::map<unsigned, std::uint64_t> m_statuses;
    std::map<std::string, std::uint64_t> m_codes;
    /// Latencies of answered requests in microseconds, by kind and for all kinds.
    mutable std::array<std::vector<std::uint32_t>, RequestKindCount + 1> m_latencies;
    mutable bool m_isSorted = false;
    std::uint64_t m_badAnswers = 0;
    std::vector<std::string> m_problems;
    Duration m_elapsed {0};
    Duration m_processorTime {0};
};

} // namespace Fuchsiastep

#include "LoadSummary.h"

#include <algorithm>
#include <cmath>

namespace Fuchsiastep {

static constexpr std::size_t MaximumProblemsKept = 10;
static constexpr std::array<RequestOutcome, 3> Outcomes {RequestOutcome::Answered, RequestOutcome::NotRun, RequestOutcome::Unknown};

struct Percentile
{
    const char *name;
    double share;
};
static constexpr std::array<Percentile, 4> Percentiles {{{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}}};

void LoadSummary::add(const RequestResult &result)
{
    ++m_requests;
    ++m_outcomes.at(static_cast<std::size_t>(result.outcome));
    ++m_statuses[result.status];
    if (!result.code.empty()) {
        ++m_codes[result.code];
    }
    if (result.outcome == RequestOutcome::Answered) {
        const auto latency = static_cast<std::uint32_t>(std::min<Duration::rep>(result.latency.count(), UINT32_MAX));
        m_latencies.at(static_cast<std::size_t>(result.request.kind)).push_back(latency);
        m_latencies.at(AllKinds).push_back(latency);
        m_isSorted = false;
    }
}

void LoadSummary::addProblem(const std::string &text)
{
    ++m_badAnswers;
    if (m_problems.size() < MaximumProblemsKept) {
        m_problems.push_back(text);
    }
}

void LoadSummary::setTimes(Duration elapsed, Duration processorTime)
{
    m_elapsed = elapsed;
    m_processorTime = processorTime;
}

double LoadSummary::answeredPercent() const
{
    return m_requests == 0 ? 0 : 100.0 * static_cast<double>(m_outcomes.front()) / static_cast<double>(m_requests);
}

double LoadSummary::throughput() const
{
    const double seconds = std::chrono::duration<double>(m_elapsed).count();
    return seconds <= 0 ? 0 : static_cast<double>(m_requests) / seconds;
}

std::uint32_t LoadSummary::percentile(std::size_t kind, double share) const
{
    if (!m_isSorted) {
        for (std::vector<std::uint32_t> &latencies : m_latencies) {
            std::sort(latencies.begin(), latencies.end());
        }
        m_isSorted = true;
    }
    const std::vector<std::uint32_t> &latencies = m_latencies.at(kind);
    if (latencies.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(latencies.size())));
    return latencies.at(std::max<std::size_t>(rank, 1) - 1);
}

JsonValue LoadSummary::latencyJson(std::size_t kind) const
{
    JsonValue::Object values;
    for (const Percentile &item : Percentiles) {
        values[item.name] = static_cast<std::int64_t>(percentile(kind, item.share));
    }
    values["max"] = static_cast<std::int64_t>(percentile(kind, 1));
    values["count"] = static_cast<std::uint64_t>(m_latencies.at(kind).size());
    return values;
}

JsonValue LoadSummary::toJson() const
{
    JsonValue::Object outcomes;
    for (const RequestOutcome outcome : Outcomes) {
        outcomes[std::string(nameOf(outcome))] = m_outcomes.at(static_cast<std::size_t>(outcome));
    }
    JsonValue::Object statuses;
    for (const auto &[status, count] : m_statuses) {
        statuses[std::to_string(status)] = count;
    }
    JsonValue::Object codes;
    for (const auto &[code, count] : m_codes) {
        codes[code] = count;
    }
    JsonValue::Object latencies {{"all", latencyJson(AllKinds)}};
    for (std::size_t kind = 0; kind < RequestKindCount; ++kind) {
        if (!m_latencies.at(kind).empty()) {
            latencies[std::string(nameOf(static_cast<RequestKind>(kind)))] = latencyJson(kind);
        }
    }
    return JsonValue::Object {
        {"requests", m_requests},
        {"answered_percent", answeredPercent()},
        {"outcomes", std::move(outcomes)},
        {"statuses", std::move(statuses)},
        {"codes", std::move(codes)},
        {"latency_us", std::move(latencies)},
        {"bad_answers", m_badAnswers},
        {"problems", JsonValue::Array(m_problems.begin(), m_problems.end())},
        {"elapsed_us", static_cast<std::int64_t>(m_elapsed.count())},
        {"processor_us", static_cast<std::int64_t>(m_processorTime.count())},
        {"requests_per_second", throughput()},
    };
}

std::string LoadSummary::toText() const
{
    std::string text = "requests " + std::to_string(m_requests) + "\noutcomes";
    for (const RequestOutcome outcome : Outcomes) {
        text += ' ' + std::string(nameOf(outcome)) + '=' + std::to_string(m_outcomes.at(static_cast<std::size_t>(outcome)));
    }
    text += "\nstatuses";
    for (const auto &[status, count] : m_statuses) {
        text += ' ' + std::to_string(status) + '=' + std::to_string(count);
    }
    text += "\ncodes";
    for (const auto &[code, count] : m_codes) {
        text += ' ' + code + '=' + std::to_string(count);
    }
    text += '\n';
    for (std::size_t kind = 0; kind <= AllKinds; ++kind) {
        if (m_latencies.at(kind).empty()) {
            continue;
        }
        text += "latency_us " + std::string(kind == AllKinds ? "all" : nameOf(static_cast<RequestKind>(kind)));
        for (const Percentile &item : Percentiles) {
            text += std::string(" ") + item.name + '=' + std::to_string(percentile(kind, item.share));
        }
        text += " max=" + std::to_string(percentile(kind, 1)) + '\n';
    }
    text += "requests_per_second " + std::to_string(std::llround(throughput()));
    text += "\nelapsed_us " + std::to_string(m_elapsed.count()) + "\nprocessor_us " + std::to_string(m_processorTime.count());
    text += "\nbad_answers " + std::to_string(m_badAnswers) + '\n';
    for (const std::string &problem : m_problems) {
        text += "problem " + problem + '\n';
    }
    return text;
}

} // namespace Fuchsiastep

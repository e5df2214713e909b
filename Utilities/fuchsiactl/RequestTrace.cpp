#include <fuchsiactl/RequestTrace.h>

#include <charconv>
#include <limits>

namespace Fuchsiastep::ControlTool {

static constexpr std::uint64_t BehindAllTries = std::numeric_limits<std::uint64_t>::max();

/// 0 for a line without a number, which then comes first.
static std::uint64_t tryOf(const LogLine &line)
{
    const std::string_view text = line.field("try");
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

static bool isEnd(const LogLine &line)
{
    return line.event == "RequestAnswered" || line.event == "RequestRefused" || line.event == "RequestUnknown";
}

RequestTrace::RequestTrace(std::string requestId) : m_requestId(std::move(requestId))
{ }

void RequestTrace::add(const LogLine &line)
{
    if (line.event == "ProgramStarted") {
        // A new process numbers its runs anew.
        std::erase_if(m_runs, [&line](const auto &run) { return run.first.first == line.source; });
        return;
    }
    if (line.event == "RunEnded") {
        addRunEnd(line);
        return;
    }
    if (line.field("request") != m_requestId) {
        return;
    }
    if (isEnd(line)) {
        m_lines.emplace(Place {BehindAllTries, false}, line);
        return;
    }
    const std::uint64_t number = tryOf(line);
    m_lines.emplace(Place {number, line.event != "RequestPlaced"}, line);
    if (line.event == "RunStarted") {
        m_runs[{line.source, std::string(line.field("run"))}] = number;
    }
}

/// The end of a run names the run only, as the upstream's connection knows no more.
void RequestTrace::addRunEnd(const LogLine &line)
{
    const auto run = m_runs.find({line.source, std::string(line.field("run"))});
    if (run == m_runs.end()) {
        return;
    }
    m_lines.emplace(Place {run->second, true}, line);
    m_runs.erase(run);
}

std::vector<LogLine> RequestTrace::lines() const
{
    std::vector<LogLine> lines;
    lines.reserve(m_lines.size());
    for (const auto &[place, line] : m_lines) {
        lines.push_back(line);
    }
    return lines;
}

const LogLine *RequestTrace::end() const
{
    return m_lines.empty() || !isEnd(m_lines.rbegin()->second) ? nullptr : &m_lines.rbegin()->second;
}

} // namespace Fuchsiastep::ControlTool

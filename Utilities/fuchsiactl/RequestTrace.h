#pragma once

#include <fuchsiactl/LogLine.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// The log lines of one request from several instances, in the order of its tries. The clocks of the instances are not
/// compared: the proxy that took the request numbers its tries, and the proxies beside the upstreams repeat the number.
class RequestTrace
{
public:
    explicit RequestTrace(std::string requestId);

    /// Takes the line where it belongs to the request. Lines of one instance come in the order in which it wrote them.
    void add(const LogLine &line);
    std::vector<LogLine> lines() const;
    /// The line with which the request ended for its caller; nullptr where it is missing.
    const LogLine *end() const;

private:
    /// Number of the try, and whether the line comes from the instance of the upstream.
    using Place = std::pair<std::uint64_t, bool>;

    void addRunEnd(const LogLine &line);

    std::string m_requestId;
    std::multimap<Place, LogLine> m_lines;
    /// Try of each run that has not ended, by instance and number of the run.
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_runs;
};

} // namespace Fuchsiastep::ControlTool

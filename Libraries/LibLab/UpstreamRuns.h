#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// One line of the run log of an emulated upstream.
struct LoggedRun
{
    std::int64_t unixMs = 0;
    /// Idempotency key; empty for a request without one.
    std::string key;
};

/// Reads a run log, which also holds what killed processes ran; empty where there is no such file.
std::vector<LoggedRun> readRunLog(const std::string &path);

/// Adds the runs of each key.
void countRuns(const std::vector<LoggedRun> &runs, std::map<std::string, std::uint64_t> &runsByKey);

} // namespace Fuchsiastep

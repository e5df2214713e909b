#include <LibLab/UpstreamRuns.h>

#include <fstream>

namespace Fuchsiastep {

std::vector<LoggedRun> readRunLog(const std::string &path)
{
    std::vector<LoggedRun> runs;
    std::ifstream file(path);
    LoggedRun run;
    while (file >> run.unixMs) {
        file.ignore();
        std::getline(file, run.key);
        runs.push_back(run);
    }
    return runs;
}

void countRuns(const std::vector<LoggedRun> &runs, std::map<std::string, std::uint64_t> &runsByKey)
{
    for (const LoggedRun &run : runs) {
        if (!run.key.empty()) {
            ++runsByKey[run.key];
        }
    }
}

} // namespace Fuchsiastep

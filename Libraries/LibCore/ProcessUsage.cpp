#include <LibCore/ProcessUsage.h>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace Fuchsiastep {

static Duration toDuration(const timeval &time)
{
    return std::chrono::seconds(time.tv_sec) + Duration(time.tv_usec);
}

ProcessUsage ProcessUsage::current()
{
    ProcessUsage usage;
    rusage counts {};
    if (getrusage(RUSAGE_SELF, &counts) == 0) {
        usage.processorTime = toDuration(counts.ru_utime) + toDuration(counts.ru_stime);
    }
    std::ifstream statm("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    if (statm >> totalPages >> residentPages) {
        usage.residentBytes = residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    }
    return usage;
}

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace Fuchsiastep {

/// Processor time and memory of this process, as the operating system counts them.
struct ProcessUsage
{
    Duration processorTime {0};
    std::uint64_t residentBytes = 0;

    static ProcessUsage current();
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibCore/Clock.h>

#include <cstdint>

namespace Fuchsiastep {

struct ConfigurationReaderSettings
{
    Duration pollInterval = std::chrono::milliseconds(500);
    /// Changes that arrive within this time after the first one are found as one.
    Duration batchWindow = std::chrono::milliseconds(50);
    /// The wait after a failure is drawn from zero to a limit that doubles from the first to the second value.
    Duration backoffBase = std::chrono::milliseconds(100);
    Duration backoffCap = std::chrono::seconds(5);
    /// A call that is not answered in this time counts as failed.
    Duration callTimeout = std::chrono::seconds(3);
    /// Change rows read by one call.
    std::uint32_t changeRowsPerRead = 64;
    /// Object rows read by one call while the configuration is rebuilt.
    std::uint32_t objectRowsPerRead = 500;
    /// A reader that is more versions behind starts from a snapshot or from the object rows.
    std::uint64_t maximumVersionsBehind = 512;
    /// Versions from one snapshot to the next.
    ConfigurationVersion snapshotInterval = 256;
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/JsonValue.h>

#include <cstdint>

namespace Fuchsiastep {

/// The load that the platform stand-in has carried since its start.
struct PlatformCounters
{
    /// Read and scan calls.
    std::uint64_t reads = 0;
    std::uint64_t scans = 0;
    std::uint64_t rowsRead = 0;
    std::uint64_t transactions = 0;
    std::uint64_t conflicts = 0;
    /// Rows that committed transactions wrote or deleted.
    std::uint64_t writes = 0;
    std::uint64_t objectsRead = 0;
    std::uint64_t objectsWritten = 0;
    /// Body bytes.
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t malformed = 0;
    /// Calls that met an injected fault.
    std::uint64_t refused = 0;
    std::uint64_t requestsLost = 0;
    std::uint64_t answersLost = 0;
    std::uint64_t staleReads = 0;

    JsonValue toJson() const;
};

} // namespace Fuchsiastep

#include <LibPlatform/PlatformCounters.h>

namespace Fuchsiastep {

JsonValue PlatformCounters::toJson() const
{
    return JsonValue::Object {
        {"reads", reads},
        {"scans", scans},
        {"rows_read", rowsRead},
        {"transactions", transactions},
        {"conflicts", conflicts},
        {"writes", writes},
        {"objects_read", objectsRead},
        {"objects_written", objectsWritten},
        {"bytes_in", bytesIn},
        {"bytes_out", bytesOut},
        {"malformed", malformed},
        {"refused", refused},
        {"requests_lost", requestsLost},
        {"answers_lost", answersLost},
        {"stale_reads", staleReads},
    };
}

} // namespace Fuchsiastep

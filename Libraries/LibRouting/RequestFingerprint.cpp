#include <LibRouting/RequestFingerprint.h>

#include <LibCore/Digest.h>

namespace Fuchsiastep {

std::uint64_t requestFingerprint(std::string_view caller, std::string_view method, std::string_view path, std::string_view body)
{
    // Each hash seeds the next one, so that moving a character from one field to its neighbour changes the result.
    return stableHash(body, stableHash(path, stableHash(method, stableHash(caller))));
}

} // namespace Fuchsiastep

#include <LibMembership/CrashSuspectEntry.h>

#include <algorithm>
#include <tuple>

namespace Fuchsiastep {

CrashSuspectEntry mergedCrashSuspect(const CrashSuspectEntry &left, const CrashSuspectEntry &right)
{
    const bool hasAcquittal = left.count == 0 || right.count == 0;
    if (hasAcquittal) {
        // At the same time the crash wins, so that every order of merging ends alike.
        const auto rank = [](const CrashSuspectEntry &entry) {
            return std::tuple(entry.unixMilliseconds, entry.count);
        };
        return rank(left) > rank(right) ? left : right;
    }
    CrashSuspectEntry merged = left;
    merged.count = std::max(left.count, right.count);
    merged.unixMilliseconds = std::max(left.unixMilliseconds, right.unixMilliseconds);
    merged.isBlamed = left.isBlamed || right.isBlamed;
    return merged;
}

} // namespace Fuchsiastep

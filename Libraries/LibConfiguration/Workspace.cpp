#include <LibConfiguration/Workspace.h>

namespace Fuchsiastep {

Digest keyDigest(std::string_view key)
{
    return Digest::of(key);
}

bool isSameKey(const Digest &left, const Digest &right)
{
    std::uint64_t difference = 0;
    for (std::size_t lane = 0; lane < left.lanes.size(); ++lane) {
        difference |= left.lanes.at(lane) ^ right.lanes.at(lane);
    }
    return difference == 0;
}

} // namespace Fuchsiastep

#include <LibMembership/RingRange.h>

#include <LibCore/Digest.h>

#include <algorithm>

namespace Fuchsiastep {

std::uint64_t ringPosition(std::string_view proxyId)
{
    return stableHash(proxyId);
}

std::vector<std::string> peersInRange(const MembershipTable &table, const RingRange &range)
{
    std::vector<std::string> ids;
    for (const MemberRecord *peer : table.livePeers()) {
        if (range.contains(ringPosition(peer->proxyId))) {
            ids.push_back(peer->proxyId);
        }
    }
    std::sort(ids.begin(), ids.end(), [](const std::string &left, const std::string &right) {
        return ringPosition(left) < ringPosition(right);
    });
    return ids;
}

std::vector<RingRange> splitRange(const MembershipTable &table, const RingRange &range, std::size_t parts)
{
    const std::vector<std::string> ids = peersInRange(table, range);
    const std::size_t count = std::min(parts, ids.size());
    std::vector<RingRange> ranges;
    std::uint64_t begin = range.begin;
    for (std::size_t i = 0; i < count; ++i) {
        const bool isLast = i + 1 == count;
        const std::uint64_t end = isLast ? range.end : ringPosition(ids[(i + 1) * ids.size() / count]) - 1;
        ranges.push_back({begin, end});
        begin = end + 1;
    }
    return ranges;
}

} // namespace Fuchsiastep

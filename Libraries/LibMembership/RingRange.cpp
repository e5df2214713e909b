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
    std::vector<std::pair<std::uint64_t, std::string>> positions;
    for (const MemberRecord *peer : table.livePeers()) {
        const std::uint64_t position = ringPosition(peer->proxyId);
        if (range.contains(position)) {
            positions.emplace_back(position, peer->proxyId);
        }
    }
    std::sort(positions.begin(), positions.end());
    std::vector<std::string> ids;
    ids.reserve(positions.size());
    for (auto &[position, id] : positions) {
        ids.push_back(std::move(id));
    }
    return ids;
}

/// Appends \a parts ranges that cover \a region and hold about the same number of peers each.
static void appendParts(std::vector<RingRange> &ranges, const RingRange &region, const std::vector<std::string> &ids, std::size_t parts)
{
    const std::size_t count = std::min(parts, ids.size());
    std::uint64_t begin = region.begin;
    for (std::size_t i = 0; i < count; ++i) {
        const bool isLast = i + 1 == count;
        const std::uint64_t end = isLast ? region.end : ringPosition(ids[(i + 1) * ids.size() / count]) - 1;
        ranges.push_back({begin, end});
        begin = end + 1;
    }
}

std::vector<RingRange> splitRange(const MembershipTable &table, const RingRange &range, std::size_t parts)
{
    std::vector<RingRange> ranges;
    const std::uint64_t own = ringPosition(table.self().proxyId);
    if (!range.contains(own)) {
        appendParts(ranges, range, peersInRange(table, range), parts);
        return ranges;
    }
    const RingRange before = own == range.begin ? RingRange {1, 0} : RingRange {range.begin, own - 1};
    const RingRange after = own == range.end ? RingRange {1, 0} : RingRange {own + 1, range.end};
    const std::vector<std::string> idsBefore = peersInRange(table, before);
    const std::vector<std::string> idsAfter = peersInRange(table, after);
    const std::size_t known = idsBefore.size() + idsAfter.size();
    if (known == 0) {
        return ranges;
    }
    const std::size_t fairShare = (parts * idsBefore.size() + known / 2) / known;
    const std::size_t partsBefore = std::clamp<std::size_t>(fairShare, 1, std::max<std::size_t>(parts - 1, 1));
    appendParts(ranges, before, idsBefore, idsAfter.empty() ? parts : partsBefore);
    appendParts(ranges, after, idsAfter, idsBefore.empty() ? parts : std::max<std::size_t>(parts - partsBefore, 1));
    return ranges;
}

} // namespace Fuchsiastep

#pragma once

#include <LibMembership/MembershipTable.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// An inclusive range of the hash ring on which members have positions.
struct RingRange
{
    std::uint64_t begin = 0;
    std::uint64_t end = std::numeric_limits<std::uint64_t>::max();

    bool contains(std::uint64_t position) const
    {
        return begin <= position && position <= end;
    }
    bool isEmpty() const
    {
        return begin > end;
    }
    bool operator==(const RingRange &) const = default;
};

std::uint64_t ringPosition(std::string_view proxyId);

/// Live peers of the own data centre whose position is in \a range, by position.
std::vector<std::string> peersInRange(const MembershipTable &table, const RingRange &range);

/// Splits \a range into at most \a parts ranges (two, where \a parts is 1) that hold about the same number of known peers.
/// Together they cover the range, so that a delegate also reaches members that this proxy does not know. The position of
/// this proxy is left out, because its delegates would otherwise send everything back to it. A side of that position on
/// which no peer is known is left out as well.
std::vector<RingRange> splitRange(const MembershipTable &table, const RingRange &range, std::size_t parts);

} // namespace Fuchsiastep

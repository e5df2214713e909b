#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Fuchsiastep {

/// The last start of an upstream whose departure the proxy beside it acknowledged. It is part of the member record, so that
/// other members still hold it after the process that gave the acknowledgement has ended.
struct DepartedUpstream
{
    /// Empty where the departure was dropped because the member record became too long.
    std::string upstreamId;
    /// Unix milliseconds of the start by the clock of the upstream; nothing where it is not known.
    std::optional<std::int64_t> startedUnixMs;
    /// Incarnation and sequence of the member at the acknowledgement. Of two departures the one with the higher pair is later.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Where the start is not known, every start of the upstream up to this moment, in Unix milliseconds, has left.
    std::int64_t latestStartUnixMs = 0;

    bool operator==(const DepartedUpstream &) const = default;
};

/// True where \a candidate is the later departure. Any departure is later than none.
bool isLaterDeparture(const std::optional<DepartedUpstream> &candidate, const std::optional<DepartedUpstream> &current);

} // namespace Fuchsiastep

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Fuchsiastep {

/// The start of an upstream that was last acknowledged as leaving by the proxy beside it. It is part of the member record, so
/// that the other members hold it when the process that gave the acknowledgement has gone.
struct DepartedUpstream
{
    /// Empty where the record had no room for the departure any longer.
    std::string upstreamId;
    /// Unix milliseconds of the start by the clock of the upstream; nothing where the departure named no start.
    std::optional<std::int64_t> startedUnixMs;
    /// Incarnation and sequence of the member when it gave the acknowledgement. The higher pair is the later departure.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    bool operator==(const DepartedUpstream &) const = default;
};

/// True where \a candidate is the later departure. Any departure is later than none.
bool isLaterDeparture(const std::optional<DepartedUpstream> &candidate, const std::optional<DepartedUpstream> &current);

} // namespace Fuchsiastep

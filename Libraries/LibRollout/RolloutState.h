#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// Phases of a roll-out, in their order. Only RolledBack may follow any phase before Completed.
enum class RolloutPhase : std::uint8_t {
    /// A small share of the requests goes to the new version.
    Canary = 0,
    /// The new version has shown no fault; its share grows to all requests.
    Ramping = 1,
    /// Every request goes to the new version. The old upstreams stop.
    Completed = 2,
    /// No request goes to the new version.
    RolledBack = 3,
};

/// "canary", "ramping", "completed" or "rolled-back".
std::string_view nameOf(RolloutPhase phase);
bool isFinal(RolloutPhase phase);

/// An operator's order to move a service to another version.
struct RolloutOrder
{
    std::string service;
    /// Version that the service's upstreams are to have.
    std::string target;
    Duration length {0};
    /// Revision of the order's row in the platform; a later order of the service has a higher one.
    std::uint64_t revision = 0;

    bool operator==(const RolloutOrder &) const = default;
};

/// What a proxy does about one roll-out.
struct RolloutState
{
    RolloutOrder order;
    RolloutPhase phase = RolloutPhase::Canary;
    /// Share of the requests for the new version, in thousandths.
    std::uint32_t sharePermille = 0;

    bool operator==(const RolloutState &) const = default;
};

/// Whether \a candidate replaces \a current: a later order, or a later phase or larger share of the same one.
bool supersedes(const RolloutState &candidate, const RolloutState &current);

} // namespace Fuchsiastep

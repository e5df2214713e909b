#pragma once

#include <LibConfiguration/RouteRules.h>
#include <LibCore/Digest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// Callers that share keys, a priority and a quota.
struct Workspace
{
    std::string name;
    /// SHA-256 of each key, in ascending order. The keys themselves are not kept.
    std::vector<Digest> keys;
    /// Replaces the priority of the route.
    std::optional<RequestPriority> priority;
    /// Thousandths of a request a second over all instances together; 0 for no limit.
    std::uint64_t milliRequestsPerSecond = 0;
    /// Requests beyond the rate that may come at once.
    std::uint64_t burst = 0;

    bool hasQuota() const
    {
        return milliRequestsPerSecond > 0;
    }
    double requestsPerSecond() const
    {
        constexpr double Thousandth = 0.001;
        return static_cast<double>(milliRequestsPerSecond) * Thousandth;
    }

    bool operator==(const Workspace &) const = default;
};

/// The form in which a key is kept and looked up.
Digest keyDigest(std::string_view key);

/// Takes the same time wherever the digests differ, so that the time of a refusal tells nothing about a key.
bool isSameKey(const Digest &left, const Digest &right);

} // namespace Fuchsiastep

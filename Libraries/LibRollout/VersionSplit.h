#pragma once

#include <LibConfiguration/Route.h>
#include <LibCore/Clock.h>
#include <LibRollout/RolloutState.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Label of an upstream that names the version of its software.
constexpr const char *VersionLabel = "version";

struct VersionSplitSettings
{
    /// Without news for this long, no request goes to a version that is not proven.
    Duration newsTime = std::chrono::seconds(2);
    /// A version that is new to this proxy waits this long for an order that concerns it: upstreams of a roll-out may be seen
    /// before its order.
    Duration orderTime = std::chrono::seconds(2);
};

/// Chooses, for each request, between the old and the new version of a service. Shares are kept exactly and not by chance, so
/// that the requests of many proxies together keep them as well. A request keeps the choice for its retries.
class VersionSplit
{
public:
    VersionSplit(VersionSplitSettings settings, const Clock &clock);

    /// What is known of all roll-outs, at this moment or later.
    void update(const std::vector<RolloutState> &states, TimePoint knownAt);

    /// \a route with the upstreams that this request may reach: \a route itself where the service has only one version.
    std::shared_ptr<const Route> select(const std::shared_ptr<const Route> &route);

    std::vector<RolloutState> states() const;

private:
    /// The parts of one route.
    struct Parts
    {
        std::weak_ptr<const Route> route;
        std::uint64_t generation = 0;
        /// When the versions of the route were looked at.
        TimePoint checkedAt;
        /// The route itself where the service has one version.
        std::shared_ptr<const Route> oldPart;
        std::shared_ptr<const Route> newPart;
    };
    struct Service
    {
        /// When each version was first seen.
        std::map<std::string, TimePoint> firstSeen;
        /// Versions that are served alike.
        std::set<std::string> inForce;
        /// What the new version has earned of the next request, in thousandths.
        std::uint32_t credit = 0;
    };

    bool hasNews() const;
    void noteVersions(const Route &route, Service &service);
    const Parts &partsOf(const std::shared_ptr<const Route> &route, Service &service);
    Parts split(const std::shared_ptr<const Route> &route, const Service &service) const;
    static std::shared_ptr<const Route> filtered(
        const Route &route, const std::set<std::string> &versions, std::size_t most, std::uint64_t seed);

    VersionSplitSettings m_settings;
    const Clock &m_clock;
    std::map<std::string, RolloutState> m_states;
    TimePoint m_knownAt;
    bool m_isAnythingKnown = false;
    /// Counts the changes that make parts of routes invalid.
    std::uint64_t m_generation = 0;
    std::map<std::string, Service> m_services;
    std::map<const Route *, Parts> m_parts;
    std::deque<const Route *> m_partOrder;
};

} // namespace Fuchsiastep

#pragma once

#include <LibRouting/LibRouting.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Fuchsiastep {

/// Routing objects on a manual clock, with endpoints "u0", "u1", ... of service "desk".
struct RoutingFixture
{
    explicit RoutingFixture(std::uint64_t seed,
        const RoutingState::Settings &settings = {},
        const UpstreamSelector::Settings &selectorSettings = {"dc-a", "region-a"})
        : random(seed), state(settings, clock, random), selector(selectorSettings, state, random)
    { }

    static std::shared_ptr<const Endpoint> endpoint(
        std::size_t number, const std::string &dataCentre = "dc-a", const std::string &region = "region-a", std::uint32_t ageMs = 60000)
    {
        const std::string id = std::to_string(number);
        return std::make_shared<const Endpoint>(Endpoint {"u" + id, "desk", "p" + id, 1, dataCentre, region, {}, {}, 6, false, ageMs});
    }

    static std::shared_ptr<const Route> route(std::vector<std::shared_ptr<const Endpoint>> endpoints, const RouteRules &rules = {})
    {
        Selector selector;
        selector.name = "all";
        selector.service = "desk";
        selector.rules = rules;
        return std::make_shared<const Route>(Route {std::make_shared<const Selector>(selector), std::move(endpoints)});
    }

    static std::shared_ptr<const Route> localRoute(std::size_t count)
    {
        std::vector<std::shared_ptr<const Endpoint>> endpoints;
        for (std::size_t number = 0; number < count; ++number) {
            endpoints.push_back(endpoint(number));
        }
        return route(std::move(endpoints));
    }

    Clock clock = Clock::manual();
    Random random;
    RoutingState state;
    UpstreamSelector selector;
};

} // namespace Fuchsiastep

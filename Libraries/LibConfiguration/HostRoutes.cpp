#include <LibConfiguration/HostRoutes.h>

#include <algorithm>

namespace Fuchsiastep {

std::shared_ptr<const HostRoutes> HostRoutes::withConfiguration(const Configuration &configuration, const Configuration &current) const
{
    std::map<std::string, ByPrefix> changed;
    const auto routesOf = [&](const std::string &host) -> ByPrefix & {
        const auto known = changed.find(host);
        if (known != changed.end()) {
            return known->second;
        }
        const std::shared_ptr<const ByPrefix> routes = m_byHost.find(host);
        return changed[host] = routes != nullptr ? *routes : ByPrefix();
    };
    configuration.forEachChangedSelector(current, [&](const std::string &name) {
        const auto before = current.selector(name);
        if (before != nullptr && !before->host.empty()) {
            remove(routesOf(before->host), *before);
        }
        const auto after = configuration.selector(name);
        if (after != nullptr && !after->host.empty()) {
            add(routesOf(after->host), *after);
        }
    });
    auto routes = std::make_shared<HostRoutes>(*this);
    for (auto &[host, byPrefix] : changed) {
        if (byPrefix.empty()) {
            routes->m_byHost.remove(host);
        } else {
            routes->m_byHost.set(host, std::make_shared<const ByPrefix>(std::move(byPrefix)));
        }
    }
    return routes;
}

static std::vector<HostRoutePart>::iterator placeOf(std::vector<HostRoutePart> &parts, const std::string &selector)
{
    const auto precedes = [](const HostRoutePart &part, const std::string &name) {
        return part.selector < name;
    };
    return std::lower_bound(parts.begin(), parts.end(), selector, precedes);
}

void HostRoutes::add(ByPrefix &routes, const Selector &selector)
{
    std::shared_ptr<const HostRoute> &route = routes[selector.pathPrefix];
    auto changed = std::make_shared<HostRoute>(route != nullptr ? *route : HostRoute {selector.host, selector.pathPrefix, {}});
    changed->parts.insert(placeOf(changed->parts, selector.name), {selector.service, selector.name, selector.weight});
    route = std::move(changed);
}

void HostRoutes::remove(ByPrefix &routes, const Selector &selector)
{
    const auto route = routes.find(selector.pathPrefix);
    auto changed = std::make_shared<HostRoute>(*route->second);
    changed->parts.erase(placeOf(changed->parts, selector.name));
    if (changed->parts.empty()) {
        routes.erase(route);
    } else {
        route->second = std::move(changed);
    }
}

std::shared_ptr<const HostRoute> HostRoutes::find(std::string_view host, std::string_view path) const
{
    const std::shared_ptr<const ByPrefix> byPrefix = m_byHost.find(host);
    if (byPrefix == nullptr) {
        return nullptr;
    }
    // Prefixes end with a slash, so only the parts of the path up to one of its slashes can be prefixes.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto route = byPrefix->find(path.substr(0, slash + 1));
        if (route != byPrefix->end()) {
            return route->second;
        }
        if (slash == 0) {
            break;
        }
    }
    return nullptr;
}

} // namespace Fuchsiastep

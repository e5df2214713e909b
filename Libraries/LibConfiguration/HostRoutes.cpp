#include <LibConfiguration/HostRoutes.h>

namespace Fuchsiastep {

std::shared_ptr<const HostRoutes> HostRoutes::build(const Configuration &configuration)
{
    auto routes = std::make_shared<HostRoutes>();
    configuration.forEachObject([&](const DeclaredObject &object) {
        const auto *selector = std::get_if<Selector>(&object);
        if (selector == nullptr || selector->host.empty()) {
            return;
        }
        std::shared_ptr<HostRoute> &route = routes->m_byHost[selector->host][selector->pathPrefix];
        if (route == nullptr) {
            route = std::make_shared<HostRoute>(HostRoute {selector->host, selector->pathPrefix, {}});
        }
        route->parts.push_back({selector->service, selector->name, selector->weight});
    });
    return routes;
}

std::shared_ptr<const HostRoute> HostRoutes::find(std::string_view host, std::string_view path) const
{
    const auto byPrefix = m_byHost.find(host);
    if (byPrefix == m_byHost.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so only the parts of the path up to one of its slashes can be prefixes.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto route = byPrefix->second.find(path.substr(0, slash + 1));
        if (route != byPrefix->second.end()) {
            return route->second;
        }
        if (slash == 0) {
            break;
        }
    }
    return nullptr;
}

} // namespace Fuchsiastep

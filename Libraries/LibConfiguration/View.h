#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/HostRoutes.h>
#include <LibConfiguration/Route.h>

#include <memory>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// A configuration version and the live endpoints, with the routes that follow from both. Its content never changes: a
/// proxy swaps it whole, and a request keeps the view that it started with. A route can only hold endpoints and services
/// that the view has. Routes are resolved when they are first asked for, so all views belong to one thread.
class View
{
public:
    using Pointer = std::shared_ptr<const View>;

    /// No configuration and no endpoints.
    static Pointer empty();

    /// The view with another configuration. What was resolved of services that the change leaves alone stays.
    Pointer withConfiguration(Configuration::Pointer configuration) const;
    /// The view with endpoints added or replaced (by upstream id), and others removed.
    Pointer withEndpoints(const std::vector<Endpoint> &stored, const std::vector<std::string> &removedUpstreamIds) const;

    const Configuration::Pointer &configuration() const;
    std::size_t endpointCount() const;
    /// nullptr where there is no such endpoint.
    std::shared_ptr<const Endpoint> endpoint(std::string_view upstreamId) const;
    /// Every route of a service, by selector name.
    std::vector<std::shared_ptr<const Route>> routesOf(std::string_view service) const;

    /// The route for a request. Fails with ConfigurationUnknown, ServiceUnknown or NoRoute.
    Result<std::shared_ptr<const Route>> tryResolve(
        std::string_view caller, std::string_view service, std::string_view method, std::string_view path) const;

    /// The selectors that a request names by its host and path (without a query). Fails with ConfigurationUnknown or
    /// NoRoute.
    Result<std::shared_ptr<const HostRoute>> tryResolveHost(std::string_view host, std::string_view path) const;
    /// The route of one selector; nullptr where there is none.
    std::shared_ptr<const Route> routeOf(std::string_view service, std::string_view selector) const;

    // The content is in View.cpp.
    struct Content;
    explicit View(std::shared_ptr<const Content> content);

private:
    std::shared_ptr<const Content> m_content;
};

} // namespace Fuchsiastep

#include <LibConfiguration/View.h>

#include <LibConfiguration/PersistentMap.h>

#include <algorithm>
#include <set>
#include <string>

namespace Fuchsiastep {

namespace {

struct ServiceEndpoints
{
    PersistentMap<Endpoint> byUpstreamId;
};

/// The routes of one service in both orders that are asked for.
struct ServiceRoutes
{
    std::vector<std::shared_ptr<const Route>> byName;
    /// The first one that matches a request wins.
    std::vector<std::shared_ptr<const Route>> byPrecedence;
};

} // namespace

struct View::Content
{
    Configuration::Pointer configuration = Configuration::empty();
    PersistentMap<Endpoint> endpoints;
    PersistentMap<ServiceEndpoints> endpointsByService;
    PersistentMap<ServiceRoutes> routes;
    std::shared_ptr<const HostRoutes> hostRoutes = std::make_shared<const HostRoutes>();
};

namespace {

bool matchesEndpoint(const Selector &selector, const Endpoint &endpoint, const UpstreamLabels *declared)
{
    return std::all_of(selector.upstreams.begin(), selector.upstreams.end(), [&](const auto &wanted) {
        if (declared != nullptr) {
            const auto found = declared->labels.find(wanted.first);
            if (found != declared->labels.end()) {
                return found->second == wanted.second;
            }
        }
        const auto found = endpoint.labels.find(wanted.first);
        return found != endpoint.labels.end() && found->second == wanted.second;
    });
}

/// An endpoint that may take work, and the labels that operators put on it.
struct Candidate
{
    std::shared_ptr<const Endpoint> endpoint;
    std::shared_ptr<const UpstreamLabels> declared;
};

std::vector<Candidate> candidatesOf(const View::Content &content, const std::string &service)
{
    std::vector<Candidate> candidates;
    const auto endpoints = content.endpointsByService.find(service);
    if (endpoints == nullptr) {
        return candidates;
    }
    for (auto &endpoint : endpoints->byUpstreamId.sortedItems()) {
        if (endpoint->isDraining) {
            continue;
        }
        auto declared = content.configuration->upstreamLabels(endpoint->upstreamId);
        // Labels that were declared for the upstream of another service do not apply.
        if (declared != nullptr && declared->service != service) {
            declared = nullptr;
        }
        candidates.push_back({endpoint, std::move(declared)});
    }
    return candidates;
}

bool precedes(const std::shared_ptr<const Route> &left, const std::shared_ptr<const Route> &right)
{
    const Selector &a = *left->selector;
    const Selector &b = *right->selector;
    if (a.precedence != b.precedence) {
        return a.precedence > b.precedence;
    }
    if (a.pathPrefix.size() != b.pathPrefix.size()) {
        return a.pathPrefix.size() > b.pathPrefix.size();
    }
    return a.name < b.name;
}

void resolveService(View::Content &content, const std::string &service)
{
    if (content.configuration->service(service) == nullptr) {
        content.routes.remove(service);
        return;
    }
    const std::vector<Candidate> candidates = candidatesOf(content, service);
    auto routes = std::make_shared<ServiceRoutes>();
    for (const auto &selector : content.configuration->selectorsOf(service)) {
        auto route = std::make_shared<Route>();
        route->selector = selector;
        for (const Candidate &candidate : candidates) {
            if (matchesEndpoint(*selector, *candidate.endpoint, candidate.declared.get())) {
                route->endpoints.push_back(candidate.endpoint);
            }
        }
        routes->byName.push_back(std::move(route));
    }
    routes->byPrecedence = routes->byName;
    std::sort(routes->byPrecedence.begin(), routes->byPrecedence.end(), precedes);
    content.routes.set(service, std::move(routes));
}

void removeEndpoint(View::Content &content, const std::string &upstreamId, std::set<std::string> &touched)
{
    const auto endpoint = content.endpoints.find(upstreamId);
    if (endpoint == nullptr) {
        return;
    }
    content.endpoints.remove(upstreamId);
    auto entry = std::make_shared<ServiceEndpoints>(*content.endpointsByService.find(endpoint->service));
    entry->byUpstreamId.remove(upstreamId);
    if (entry->byUpstreamId.isEmpty()) {
        content.endpointsByService.remove(endpoint->service);
    } else {
        content.endpointsByService.set(endpoint->service, std::move(entry));
    }
    touched.insert(endpoint->service);
}

void storeEndpoint(View::Content &content, const Endpoint &endpoint, std::set<std::string> &touched)
{
    const auto current = content.endpoints.find(endpoint.upstreamId);
    if (current != nullptr && *current == endpoint) {
        return;
    }
    removeEndpoint(content, endpoint.upstreamId, touched);
    const auto item = std::make_shared<const Endpoint>(endpoint);
    content.endpoints.set(endpoint.upstreamId, item);
    const auto others = content.endpointsByService.find(endpoint.service);
    auto entry = others != nullptr ? std::make_shared<ServiceEndpoints>(*others) : std::make_shared<ServiceEndpoints>();
    entry->byUpstreamId.set(endpoint.upstreamId, item);
    content.endpointsByService.set(endpoint.service, std::move(entry));
    touched.insert(endpoint.service);
}

bool matchesCaller(const Selector &selector, std::string_view caller, const ServiceDeclaration *callerService)
{
    return std::all_of(selector.callers.begin(), selector.callers.end(), [&](const auto &wanted) {
        if (wanted.first == "name") {
            return wanted.second == caller;
        }
        if (callerService == nullptr) {
            return false;
        }
        const auto found = callerService->labels.find(wanted.first);
        return found != callerService->labels.end() && found->second == wanted.second;
    });
}

bool matchesRequest(const Selector &selector, std::string_view method, std::string_view path)
{
    const bool isMethodAllowed =
        selector.methods.empty() || std::find(selector.methods.begin(), selector.methods.end(), method) != selector.methods.end();
    return isMethodAllowed && path.starts_with(selector.pathPrefix);
}

} // namespace

View::View(std::shared_ptr<const Content> content) : m_content(std::move(content))
{ }

View::Pointer View::empty()
{
    static const Pointer Empty = std::make_shared<const View>(std::make_shared<const Content>());
    return Empty;
}

View::Pointer View::withConfiguration(Configuration::Pointer configuration) const
{
    auto content = std::make_shared<Content>(*m_content);
    content->configuration = std::move(configuration);
    content->configuration->forEachChangedService(
        *m_content->configuration, [&](const std::string &service) { resolveService(*content, service); });
    content->hostRoutes = HostRoutes::build(*content->configuration);
    return std::make_shared<const View>(std::move(content));
}

View::Pointer View::withEndpoints(const std::vector<Endpoint> &stored, const std::vector<std::string> &removedUpstreamIds) const
{
    auto content = std::make_shared<Content>(*m_content);
    std::set<std::string> touched;
    for (const std::string &upstreamId : removedUpstreamIds) {
        removeEndpoint(*content, upstreamId, touched);
    }
    for (const Endpoint &endpoint : stored) {
        storeEndpoint(*content, endpoint, touched);
    }
    for (const std::string &service : touched) {
        resolveService(*content, service);
    }
    return std::make_shared<const View>(std::move(content));
}

const Configuration::Pointer &View::configuration() const
{
    return m_content->configuration;
}

std::size_t View::endpointCount() const
{
    return m_content->endpoints.size();
}

std::shared_ptr<const Endpoint> View::endpoint(std::string_view upstreamId) const
{
    return m_content->endpoints.find(upstreamId);
}

std::vector<std::shared_ptr<const Route>> View::routesOf(std::string_view service) const
{
    const auto routes = m_content->routes.find(service);
    return routes != nullptr ? routes->byName : std::vector<std::shared_ptr<const Route>>();
}

std::shared_ptr<const Route> View::routeOf(std::string_view service, std::string_view selector) const
{
    const auto routes = m_content->routes.find(service);
    if (routes == nullptr) {
        return nullptr;
    }
    const auto isBefore = [](const std::shared_ptr<const Route> &route, std::string_view name) {
        return route->selector->name < name;
    };
    const auto found = std::lower_bound(routes->byName.begin(), routes->byName.end(), selector, isBefore);
    return found != routes->byName.end() && (*found)->selector->name == selector ? *found : nullptr;
}

Result<std::shared_ptr<const HostRoute>> View::tryResolveHost(std::string_view host, std::string_view path) const
{
    if (m_content->configuration->version() == 0) {
        return Error {ErrorCode::ConfigurationUnknown, "no configuration is held"};
    }
    std::shared_ptr<const HostRoute> route = m_content->hostRoutes->find(host, path);
    if (route == nullptr) {
        return Error {ErrorCode::NoRoute, "no selector for host \"" + std::string(host) + "\" and path \"" + std::string(path) + '"'};
    }
    return route;
}

Result<std::shared_ptr<const Route>> View::tryResolve(
    std::string_view caller, std::string_view service, std::string_view method, std::string_view path) const
{
    if (m_content->configuration->version() == 0) {
        return Error {ErrorCode::ConfigurationUnknown, "no configuration is held"};
    }
    const auto routes = m_content->routes.find(service);
    if (routes == nullptr) {
        return Error {ErrorCode::ServiceUnknown, std::string(service)};
    }
    const auto callerService = m_content->configuration->service(caller);
    for (const auto &route : routes->byPrecedence) {
        if (matchesRequest(*route->selector, method, path) && matchesCaller(*route->selector, caller, callerService.get())) {
            return route;
        }
    }
    return Error {ErrorCode::NoRoute,
        "no selector allows caller \"" + std::string(caller) + "\" " + std::string(method) + ' ' + std::string(path) + " on \""
            + std::string(service) + '"'};
}

} // namespace Fuchsiastep

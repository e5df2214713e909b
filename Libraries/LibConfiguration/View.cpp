#include <LibConfiguration/View.h>

#include <LibConfiguration/PersistentMap.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Fuchsiastep {

namespace {

struct ServiceEndpoints
{
    PersistentMap<Endpoint> byUpstreamId;
};

/// An endpoint that may take work, and the labels that operators put on it.
struct Candidate
{
    std::shared_ptr<const Endpoint> endpoint;
    std::shared_ptr<const UpstreamLabels> declared;
};

/// What was resolved of one service so far. A service may have a thousand selectors and hundreds of endpoints, which change
/// often while an instance is replaced or restarted, and a proxy uses few of the routes: resolving each of them at each
/// change would take more of the processor than the requests.
struct ServiceRoutes
{
    std::optional<std::vector<Candidate>> candidates;
    std::unordered_map<std::string, std::shared_ptr<const Route>> bySelector;
    /// The first one that matches a request wins. Depends on the configuration alone.
    std::shared_ptr<const std::vector<std::shared_ptr<const Selector>>> byPrecedence;
};

} // namespace

struct View::Content
{
    Configuration::Pointer configuration = Configuration::empty();
    PersistentMap<Endpoint> endpoints;
    PersistentMap<ServiceEndpoints> endpointsByService;
    /// Filled as routes are asked for. Views share what a change between them leaves alone. All views are used by one thread.
    mutable std::unordered_map<std::string, std::shared_ptr<ServiceRoutes>> resolved;
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

bool precedes(const std::shared_ptr<const Selector> &left, const std::shared_ptr<const Selector> &right)
{
    const Selector &a = *left;
    const Selector &b = *right;
    if (a.precedence != b.precedence) {
        return a.precedence > b.precedence;
    }
    if (a.pathPrefix.size() != b.pathPrefix.size()) {
        return a.pathPrefix.size() > b.pathPrefix.size();
    }
    return a.name < b.name;
}

ServiceRoutes &resolvedOf(const View::Content &content, const std::string &service)
{
    std::shared_ptr<ServiceRoutes> &routes = content.resolved[service];
    if (routes == nullptr) {
        routes = std::make_shared<ServiceRoutes>();
    }
    return *routes;
}

const std::shared_ptr<const Route> &resolve(const View::Content &content, const std::shared_ptr<const Selector> &selector)
{
    ServiceRoutes &routes = resolvedOf(content, selector->service);
    std::shared_ptr<const Route> &known = routes.bySelector[selector->name];
    if (known != nullptr) {
        return known;
    }
    if (!routes.candidates) {
        routes.candidates = candidatesOf(content, selector->service);
    }
    auto route = std::make_shared<Route>();
    route->selector = selector;
    for (const Candidate &candidate : *routes.candidates) {
        if (matchesEndpoint(*selector, *candidate.endpoint, candidate.declared.get())) {
            route->endpoints.push_back(candidate.endpoint);
        }
    }
    known = std::move(route);
    return known;
}

const std::vector<std::shared_ptr<const Selector>> &selectorsByPrecedence(const View::Content &content, const std::string &service)
{
    ServiceRoutes &routes = resolvedOf(content, service);
    if (routes.byPrecedence == nullptr) {
        std::vector<std::shared_ptr<const Selector>> selectors = content.configuration->selectorsOf(service);
        std::sort(selectors.begin(), selectors.end(), precedes);
        routes.byPrecedence = std::make_shared<const std::vector<std::shared_ptr<const Selector>>>(std::move(selectors));
    }
    return *routes.byPrecedence;
}

/// Drops what was resolved with other endpoints. The order of the selectors stays.
void forgetEndpoints(const View::Content &content, const std::string &service)
{
    const auto known = content.resolved.find(service);
    if (known == content.resolved.end()) {
        return;
    }
    auto routes = std::make_shared<ServiceRoutes>();
    routes->byPrecedence = known->second->byPrecedence;
    known->second = std::move(routes);
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
        *m_content->configuration, [&](const std::string &service) { content->resolved.erase(service); });
    content->hostRoutes = m_content->hostRoutes->withConfiguration(*content->configuration, *m_content->configuration);
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
        forgetEndpoints(*content, service);
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
    std::vector<std::shared_ptr<const Route>> routes;
    for (const std::shared_ptr<const Selector> &selector : m_content->configuration->selectorsOf(service)) {
        routes.push_back(resolve(*m_content, selector));
    }
    return routes;
}

std::shared_ptr<const Route> View::routeOf(std::string_view service, std::string_view selector) const
{
    const std::shared_ptr<const Selector> found = m_content->configuration->selector(selector);
    return found != nullptr && found->service == service ? resolve(*m_content, found) : nullptr;
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
    if (m_content->configuration->service(service) == nullptr) {
        return Error {ErrorCode::ServiceUnknown, std::string(service)};
    }
    const auto callerService = m_content->configuration->service(caller);
    for (const auto &selector : selectorsByPrecedence(*m_content, std::string(service))) {
        if (matchesRequest(*selector, method, path) && matchesCaller(*selector, caller, callerService.get())) {
            return resolve(*m_content, selector);
        }
    }
    return Error {ErrorCode::NoRoute,
        "no selector allows caller \"" + std::string(caller) + "\" " + std::string(method) + ' ' + std::string(path) + " on \""
            + std::string(service) + '"'};
}

} // namespace Fuchsiastep

#include <Support/SampleConfiguration.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace Fuchsiastep {

/// Upstream ids that a selector leads to, computed from the whole configuration and every endpoint.
static std::vector<std::string> naiveRoute(
    const Configuration &configuration, const std::map<std::string, Endpoint> &endpoints, const Selector &selector)
{
    std::vector<std::string> upstreamIds;
    for (const auto &[upstreamId, endpoint] : endpoints) {
        Labels labels = endpoint.labels;
        const auto declared = configuration.upstreamLabels(upstreamId);
        if (declared != nullptr && declared->service == endpoint.service) {
            for (const auto &[name, value] : declared->labels) {
                labels[name] = value;
            }
        }
        if (endpoint.service == selector.service && !endpoint.isDraining && matchesLabels(selector.upstreams, labels)) {
            upstreamIds.push_back(upstreamId);
        }
    }
    return upstreamIds;
}

/// Name of the selector that wins for a request; empty where there is none.
static std::string naiveResolve(const Configuration &configuration,
    const std::string &caller,
    const std::string &service,
    const std::string &method,
    const std::string &path)
{
    Labels callerLabels = configuration.service(caller) != nullptr ? configuration.service(caller)->labels : Labels();
    callerLabels["name"] = caller;
    const Selector *best = nullptr;
    const auto selectors = configuration.selectorsOf(service);
    for (const auto &selector : selectors) {
        const auto &methods = selector->methods;
        if (!matchesLabels(selector->callers, callerLabels) || path.rfind(selector->pathPrefix, 0) != 0
            || (!methods.empty() && std::count(methods.begin(), methods.end(), method) == 0)) {
            continue;
        }
        const auto rank = [](const Selector &item) {
            return std::pair(item.precedence, item.pathPrefix.size());
        };
        if (best == nullptr || rank(*selector) > rank(*best)) {
            best = selector.get();
        }
    }
    return best != nullptr ? best->name : std::string();
}

class TestView : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestView);
    CPPUNIT_TEST(testViewAgreesWithFullResolveUnderChurn);
    CPPUNIT_TEST(testErrorsAreDistinguished);
    CPPUNIT_TEST(testEndpointChangeCostsNoRoutes);
    CPPUNIT_TEST(testHostRoutesAgreeWithAFullBuild);
    CPPUNIT_TEST_SUITE_END();

    static void compare(const std::string &where, const View &view, const std::map<std::string, Endpoint> &endpoints)
    {
        const Configuration &configuration = *view.configuration();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(where, endpoints.size(), view.endpointCount());
        for (int i = 0; i < 5; ++i) {
            const std::string service = "service-" + std::to_string(i);
            const auto selectors = configuration.selectorsOf(service);
            const auto routes = view.routesOf(service);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, selectors.size(), routes.size());
            for (std::size_t j = 0; j < routes.size(); ++j) {
                CPPUNIT_ASSERT_MESSAGE(where, routes[j]->selector == selectors[j]);
                CPPUNIT_ASSERT_MESSAGE(where, configuration.service(routes[j]->selector->service) != nullptr);
                std::vector<std::string> upstreamIds;
                for (const auto &endpoint : routes[j]->endpoints) {
                    CPPUNIT_ASSERT_MESSAGE(where, view.endpoint(endpoint->upstreamId) == endpoint);
                    upstreamIds.push_back(endpoint->upstreamId);
                }
                CPPUNIT_ASSERT_MESSAGE(where, upstreamIds == naiveRoute(configuration, endpoints, *selectors[j]));
            }
            for (const char *caller : {"tablet", "service-0", "service-3"}) {
                const auto found = view.tryResolve(caller, service, "POST", "/orders/1");
                const std::string name = isError(found) ? std::string() : valueOf(found)->selector->name;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, naiveResolve(configuration, caller, service, "POST", "/orders/1"), name);
            }
        }
    }

    // Guards against a route to a service or upstream that the view does not have (I2) at any step of
    // configuration and endpoint churn, and against a partial resolve that differs from a full one.
    void testViewAgreesWithFullResolveUnderChurn()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            Random random(seed);
            SampleConfiguration sample(random);
            View::Pointer view = View::empty();
            std::map<std::string, Endpoint> endpoints;
            for (int step = 0; step < 60; ++step) {
                const View::Pointer before = view;
                const std::map<std::string, Endpoint> endpointsBefore = endpoints;
                if (random.chance(0.5)) {
                    const auto next = view->configuration()->tryApply(sample.delta(*view->configuration()));
                    view = isError(next) ? view : view->withConfiguration(valueOf(next));
                } else {
                    const Endpoint stored = sample.endpoint();
                    const std::string removed = sample.upstreamId();
                    view = view->withEndpoints({stored}, {removed});
                    endpoints.erase(removed);
                    endpoints[stored.upstreamId] = stored;
                }
                const std::string where = "seed " + std::to_string(seed) + " step " + std::to_string(step);
                compare(where, *view, endpoints);
                // A request that started earlier keeps an unchanged view.
                compare(where, *before, endpointsBefore);
            }
        }
    }

    void testErrorsAreDistinguished()
    {
        const auto codeOf = [](const View &view, const char *service) {
            return errorOf(view.tryResolve("c", service, "GET", "/")).code;
        };
        CPPUNIT_ASSERT(codeOf(*View::empty(), "a") == ErrorCode::ConfigurationUnknown);
        const auto delta = ConfigurationDelta::onTopOf(*Configuration::empty(), {ServiceDeclaration {"a", {}}}, {});
        const auto view = View::empty()->withConfiguration(valueOf(Configuration::empty()->tryApply(delta)));
        CPPUNIT_ASSERT(codeOf(*view, "b") == ErrorCode::ServiceUnknown);
        CPPUNIT_ASSERT(codeOf(*view, "a") == ErrorCode::NoRoute);
    }

    // Guards against changes of endpoints, of which a restart of many instances makes thousands, that resolve every route of
    // a service again: each route that was resolved refers to the endpoint.
    void testEndpointChangeCostsNoRoutes()
    {
        constexpr int Selectors = 1000;
        constexpr long MaximumReferences = 10;
        std::vector<DeclaredObject> objects {ServiceDeclaration {"desk", {}}};
        Digest digest = digestOf(objects.front());
        for (int i = 0; i < Selectors; ++i) {
            Selector selector;
            selector.name = "selector-" + std::to_string(i);
            selector.service = "desk";
            objects.emplace_back(selector);
            digest += digestOf(objects.back());
        }
        const auto configuration = Configuration::tryBuild(objects, 1, digest);
        CPPUNIT_ASSERT(!isError(configuration));
        Endpoint endpoint;
        endpoint.upstreamId = "u0";
        endpoint.service = "desk";
        View::Pointer view = View::empty()->withConfiguration(valueOf(configuration))->withEndpoints({endpoint}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), view->routeOf("desk", "selector-7")->endpoints.size());
        CPPUNIT_ASSERT(!isError(view->tryResolve("till", "desk", "GET", "/")));
        endpoint.upstreamId = "u1";
        view = view->withEndpoints({endpoint}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), view->routeOf("desk", "selector-7")->endpoints.size());
        CPPUNIT_ASSERT(!isError(view->tryResolve("till", "desk", "GET", "/")));
        CPPUNIT_ASSERT(view->endpoint("u1").use_count() < MaximumReferences);
        CPPUNIT_ASSERT_EQUAL(std::size_t(Selectors), view->routesOf("desk").size());
    }

    static std::string partsAt(const View &view, const std::string &host, const std::string &path)
    {
        const auto route = view.tryResolveHost(host, path);
        std::string text;
        if (!isError(route)) {
            for (const HostRoutePart &part : valueOf(route)->parts) {
                text += part.service + '/' + part.selector + '*' + std::to_string(part.weight) + ' ';
            }
        }
        return text;
    }

    // Guards against routes of hosts that differ from those of the whole configuration after a series of changes, and against
    // changes that build the routes of hosts again that they leave alone.
    void testHostRoutesAgreeWithAFullBuild()
    {
        const std::vector<std::string> hosts {"", "a.example", "b.example"};
        const std::vector<std::string> prefixes {"/", "/x/", "/x/y/"};
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            Random random(seed);
            const ServiceDeclaration service {"desk", {}};
            Selector fixed;
            fixed.name = "fixed";
            fixed.service = "desk";
            fixed.host = "c.example";
            fixed.pathPrefix = "/";
            std::map<std::string, DeclaredObject> objects {{"service", service}, {"fixed", fixed}};
            View::Pointer view = View::empty();
            std::shared_ptr<const HostRoute> untouched;
            for (ConfigurationVersion version = 1; version <= 40; ++version) {
                for (int change = 0; change < 3; ++change) {
                    Selector selector;
                    selector.name = "selector-" + std::to_string(random.below(12));
                    selector.service = "desk";
                    selector.host = hosts[random.below(hosts.size())];
                    selector.pathPrefix = prefixes[random.below(prefixes.size())];
                    selector.weight = static_cast<std::uint32_t>(1 + random.below(3));
                    if (random.chance(0.3)) {
                        objects.erase(selector.name);
                    } else {
                        objects[selector.name] = selector;
                    }
                }
                std::vector<DeclaredObject> list;
                Digest digest;
                for (const auto &[name, object] : objects) {
                    list.push_back(object);
                    digest += digestOf(object);
                }
                const auto built = Configuration::tryBuild(list, version, digest);
                CPPUNIT_ASSERT(!isError(built));
                const auto next = view->configuration()->tryApply(ConfigurationDelta::between(*view->configuration(), list, version));
                CPPUNIT_ASSERT(!isError(next));
                view = view->withConfiguration(valueOf(next));
                const View::Pointer whole = View::empty()->withConfiguration(valueOf(built));
                for (const std::string &host : hosts) {
                    for (const char *path : {"/", "/x/1", "/x/y/1"}) {
                        const std::string where =
                            "seed " + std::to_string(seed) + " version " + std::to_string(version) + ' ' + host + path;
                        CPPUNIT_ASSERT_EQUAL_MESSAGE(where, partsAt(*whole, host, path), partsAt(*view, host, path));
                    }
                }
                const std::shared_ptr<const HostRoute> route = valueOf(view->tryResolveHost("c.example", "/"));
                CPPUNIT_ASSERT(untouched == nullptr || untouched == route);
                untouched = route;
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestView);

} // namespace Fuchsiastep

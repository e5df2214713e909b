#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/PersistentMap.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// One of the selectors among which the requests of a host and path prefix are split.
struct HostRoutePart
{
    std::string service;
    std::string selector;
    std::uint32_t weight = 1;

    bool operator==(const HostRoutePart &) const = default;
};

/// The selectors with one host and path prefix.
struct HostRoute
{
    std::string host;
    std::string pathPrefix;
    /// By selector name.
    std::vector<HostRoutePart> parts;
};

/// Finds the selectors that a request names by its host and path, in one configuration. Immutable; successive versions share
/// the hosts that a change leaves alone.
class HostRoutes
{
public:
    /// The routes of \a configuration, where these are the ones of \a current.
    std::shared_ptr<const HostRoutes> withConfiguration(const Configuration &configuration, const Configuration &current) const;

    /// The route with the longest prefix of \a path (without a query); nullptr where there is none.
    std::shared_ptr<const HostRoute> find(std::string_view host, std::string_view path) const;

private:
    using ByPrefix = std::map<std::string, std::shared_ptr<const HostRoute>, std::less<>>;

    static void add(ByPrefix &routes, const Selector &selector);
    static void remove(ByPrefix &routes, const Selector &selector);

    PersistentMap<ByPrefix> m_byHost;
};

} // namespace Fuchsiastep

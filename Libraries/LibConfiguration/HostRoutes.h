#pragma once

#include <LibConfiguration/Configuration.h>

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

/// Finds the selectors that a request names by its host and path. Immutable, and built from one configuration.
class HostRoutes
{
public:
    static std::shared_ptr<const HostRoutes> build(const Configuration &configuration);

    /// The route with the longest prefix of \a path (without a query); nullptr where there is none.
    std::shared_ptr<const HostRoute> find(std::string_view host, std::string_view path) const;

private:
    using ByPrefix = std::map<std::string, std::shared_ptr<HostRoute>, std::less<>>;
    std::map<std::string, ByPrefix, std::less<>> m_byHost;
};

} // namespace Fuchsiastep

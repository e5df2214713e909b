#pragma once

#include <LibConfiguration/Labels.h>
#include <LibConfiguration/RouteRules.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Says which callers reach which upstreams of a service under which rules.
struct Selector
{
    std::string name;
    /// Labels that the caller must have. Every caller has the label "name"; a caller that is itself a
    /// declared service also has the labels of that service.
    Labels callers;
    std::string service;
    /// Labels that an upstream must have.
    Labels upstreams;
    /// Upper-case methods; empty for all.
    std::vector<std::string> methods;
    /// The path must begin with this.
    std::string pathPrefix = "/";
    /// Of the selectors that match a request, the highest precedence wins, then the longest path prefix,
    /// then the first name in alphabetical order.
    std::int32_t precedence = 0;
    /// Callers that send this Host header reach the selector by their path alone, without naming the service; empty for
    /// none. The path prefix then ends with '/'.
    std::string host;
    /// Share of the requests among the selectors with the same host and path prefix.
    std::uint32_t weight = 1;
    RouteRules rules;

    bool operator==(const Selector &) const = default;
};

} // namespace Fuchsiastep

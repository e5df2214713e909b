#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibProxy/HttpServer.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// A field of a document whose value this proxy cannot carry, with the value that it uses in its place.
struct LimitedField
{
    /// Path in the document: "$.routes[3].timeoutMs".
    std::string path;
    double given = 0;
    std::int64_t used = 0;
};

/// A whole configuration as an operator's document declares it.
struct ConfigurationDocument
{
    ConfigurationVersion version = 0;
    std::vector<DeclaredObject> objects;
    /// What callers may send.
    HttpServerLimits callerLimits;
    std::vector<LimitedField> limitedFields;
};

} // namespace Fuchsiastep

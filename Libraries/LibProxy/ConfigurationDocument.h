#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibProxy/HttpServer.h>

#include <vector>

namespace Fuchsiastep {

/// A whole configuration as an operator's document declares it.
struct ConfigurationDocument
{
    ConfigurationVersion version = 0;
    std::vector<DeclaredObject> objects;
    /// What callers may send.
    HttpServerLimits callerLimits;
};

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>

#include <map>
#include <string>

namespace Fuchsiastep {

/// A request of LabHttp.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
    Duration timeout = std::chrono::seconds(2);
};

} // namespace Fuchsiastep

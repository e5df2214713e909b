#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Fuchsiastep {

/// The answer to an HttpCall.
struct HttpReply
{
    /// 0 where there was no whole answer in time.
    unsigned status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    /// When the answer was complete, in milliseconds since the Unix epoch.
    std::int64_t unixMs = 0;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

} // namespace Fuchsiastep

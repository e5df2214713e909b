#pragma once

#include <string>

namespace Fuchsiastep {

/// A platform response as it is sent over HTTP.
struct PlatformHttpAnswer
{
    unsigned status = 0;
    std::string body;
};

} // namespace Fuchsiastep

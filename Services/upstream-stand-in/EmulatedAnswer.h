#pragma once

#include <string>

namespace Fuchsiastep {

/// An HTTP answer of the emulated upstream.
struct EmulatedAnswer
{
    unsigned status = 200;
    std::string mediaType = "application/json";
    std::string body;
    /// The request did not run; told by the header fuchsiastep-refused.
    bool isRefused = false;
};

} // namespace Fuchsiastep

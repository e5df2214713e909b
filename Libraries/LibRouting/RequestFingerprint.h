#pragma once

#include <cstdint>
#include <string_view>

namespace Fuchsiastep {

/// A hash that is equal on every proxy for requests with the same service, method, path and body.
/// Headers and keys are left out, because a caller that sends a request again may change them.
std::uint64_t requestFingerprint(std::string_view service, std::string_view method, std::string_view path, std::string_view body);

} // namespace Fuchsiastep

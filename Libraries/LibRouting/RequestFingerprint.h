#pragma once

#include <cstdint>
#include <string_view>

namespace Fuchsiastep {

/// A hash that is equal on every proxy for requests with the same caller, method, path and body.
/// Headers and keys are left out, because a caller that sends a request again may change them, and so is the service,
/// because the routes that lead the request to a service may change.
std::uint64_t requestFingerprint(std::string_view caller, std::string_view method, std::string_view path, std::string_view body);

} // namespace Fuchsiastep

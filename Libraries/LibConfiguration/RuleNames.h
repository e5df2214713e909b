#pragma once

#include <LibConfiguration/RouteRules.h>

#include <optional>
#include <string_view>

namespace Fuchsiastep {

/// "low", "normal" or "high".
std::string_view priorityName(RequestPriority priority);
std::optional<RequestPriority> priorityFromName(std::string_view name);

/// "nearest", "data-centre-only", "anywhere" or "fastest".
std::string_view localityName(LocalityPreference locality);
std::optional<LocalityPreference> localityFromName(std::string_view name);

/// "by-method", "always" or "never".
std::string_view repeatabilityName(Repeatability repeatability);
std::optional<Repeatability> repeatabilityFromName(std::string_view name);

} // namespace Fuchsiastep

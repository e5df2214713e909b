#pragma once

#include <LibConfiguration/RouteRules.h>

#include <optional>
#include <string_view>

namespace Fuchsiastep {

/// "low", "normal" or "high".
std::string_view priorityName(RequestPriority priority);
std::optional<RequestPriority> priorityFromName(std::string_view name);

/// "nearest", "data-centre-only" or "anywhere".
std::string_view localityName(LocalityPreference locality);
std::optional<LocalityPreference> localityFromName(std::string_view name);

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/RouteRules.h>
#include <LibWire/HeaderList.h>

#include <string_view>

namespace Fuchsiastep {

/// Header of a RequestFrame that carries its priority: "low", "normal" or "high".
constexpr std::string_view PriorityHeaderName = "fuchsiastep-priority";

/// Sets the header; a value that the caller sent is replaced.
void setPriority(HeaderList &headers, RequestPriority priority);
/// RequestPriority::Normal where the header is missing or not valid.
RequestPriority priorityOf(const HeaderList &headers);

} // namespace Fuchsiastep

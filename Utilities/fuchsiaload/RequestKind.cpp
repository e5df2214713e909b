#include "RequestKind.h"

#include <algorithm>

namespace Fuchsiastep {

static constexpr std::array<std::string_view, RequestKindCount> Names {"lookup", "order", "repeat-order", "document"};

std::string_view nameOf(RequestKind kind)
{
    return Names.at(static_cast<std::size_t>(kind));
}

std::optional<RequestKind> requestKindOf(std::string_view name)
{
    const auto *const found = std::find(Names.begin(), Names.end(), name);
    if (found == Names.end()) {
        return std::nullopt;
    }
    return static_cast<RequestKind>(found - Names.begin());
}

} // namespace Fuchsiastep

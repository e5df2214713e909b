#include <LibConfiguration/ChangeAction.h>

#include <array>

namespace Fuchsiastep {

std::string_view changeActionName(ChangeAction action)
{
    static constexpr std::array<std::string_view, 3> Names {"create", "replace", "remove"};
    return Names.at(static_cast<std::size_t>(action));
}

} // namespace Fuchsiastep

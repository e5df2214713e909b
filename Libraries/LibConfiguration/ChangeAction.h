#pragma once

#include <cstdint>
#include <string_view>

namespace Fuchsiastep {

/// What a change does to one object.
enum class ChangeAction : std::uint8_t {
    Create = 0,
    Replace = 1,
    Remove = 2,
};

/// "create", "replace" or "remove".
std::string_view changeActionName(ChangeAction action);

} // namespace Fuchsiastep

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// The whole numbers among the members of a JSON object; empty where \a text is none.
std::map<std::string, std::uint64_t> numbersOf(std::string_view text);

} // namespace Fuchsiastep

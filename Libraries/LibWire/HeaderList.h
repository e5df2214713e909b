#pragma once

#include <map>
#include <string>

namespace Fuchsiastep {

/// HTTP header fields by lower-case name.
using HeaderList = std::map<std::string, std::string>;

} // namespace Fuchsiastep

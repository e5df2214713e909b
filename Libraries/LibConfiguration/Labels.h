#pragma once

#include <map>
#include <string>

namespace Fuchsiastep {

/// Labels of a service, upstream or caller, by name.
using Labels = std::map<std::string, std::string>;

/// True where \a labels has every label of \a wanted with the same value. An empty \a wanted matches all.
bool matchesLabels(const Labels &wanted, const Labels &labels);

} // namespace Fuchsiastep

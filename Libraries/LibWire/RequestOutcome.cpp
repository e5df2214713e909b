#include <LibWire/RequestOutcome.h>

#include <array>

namespace Fuchsiastep {

std::string_view nameOf(RequestOutcome outcome)
{
    static constexpr std::array<std::string_view, 3> Names {"answered", "not-run", "unknown"};
    return Names.at(static_cast<std::size_t>(outcome));
}

} // namespace Fuchsiastep

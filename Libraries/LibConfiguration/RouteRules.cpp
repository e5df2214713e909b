#include <LibConfiguration/RouteRules.h>

#include <algorithm>

namespace Fuchsiastep {

bool RouteRules::isRepeatable(std::string_view method) const
{
    switch (repeatability) {
    case Repeatability::Always:
        return true;
    case Repeatability::Never:
        return false;
    case Repeatability::ByMethod:
        break;
    }
    return std::find(repeatableMethods.begin(), repeatableMethods.end(), method) != repeatableMethods.end();
}

} // namespace Fuchsiastep

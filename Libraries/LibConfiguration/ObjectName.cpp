#include <LibConfiguration/ObjectName.h>

#include <array>

namespace Fuchsiastep {

static constexpr std::array<std::string_view, 4> KindNames {"service", "upstream", "selector", "workspace"};

std::string_view objectKindName(ObjectKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

std::optional<ObjectKind> objectKindFromName(std::string_view name)
{
    for (std::size_t i = 0; i < KindNames.size(); ++i) {
        if (KindNames[i] == name) {
            return static_cast<ObjectKind>(i);
        }
    }
    return std::nullopt;
}

std::string ObjectName::toString() const
{
    return std::string(objectKindName(kind)) + '/' + name;
}

} // namespace Fuchsiastep

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// Kinds of declared objects.
enum class ObjectKind : std::uint8_t {
    Service = 0,
    Upstream = 1,
    Selector = 2,
    Workspace = 3,
};

/// "service", "upstream", "selector" or "workspace".
std::string_view objectKindName(ObjectKind kind);
std::optional<ObjectKind> objectKindFromName(std::string_view name);

/// Names an object: "selector/night-orders".
struct ObjectName
{
    ObjectKind kind = ObjectKind::Service;
    std::string name;

    bool operator==(const ObjectName &) const = default;
    auto operator<=>(const ObjectName &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads the default.

    std::string toString() const;
};

} // namespace Fuchsiastep

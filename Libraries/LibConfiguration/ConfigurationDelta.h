#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibCore/Digest.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// Kinds of declared objects.
enum class ObjectKind : std::uint8_t {
    Service = 0,
    Upstream = 1,
    Selector = 2,
};

/// Names an object: "selector/night-orders".
struct ObjectName
{
    ObjectKind kind = ObjectKind::Service;
    std::string name;

    bool operator==(const ObjectName &) const = default;
    auto operator<=>(const ObjectName &) const = default;
};

/// What leads from one configuration version to a later one.
struct ConfigurationDelta
{
    ConfigurationVersion baseVersion = 0;
    ConfigurationVersion targetVersion = 0;
    Digest baseDigest;
    Digest targetDigest;
    /// Objects that are new or replaced.
    std::vector<DeclaredObject> stored;
    std::vector<ObjectName> removed;

    bool operator==(const ConfigurationDelta &) const = default;

    /// msgpack, for ConfigurationPushFrame and the rows change/<version>.
    std::string encode() const;
    /// Fails with DeclarationMalformed.
    static Result<ConfigurationDelta> tryDecode(std::string_view bytes);

    /// One delta that has the effect of this one and then \a next. Fails with BaseMismatch where \a next does
    /// not start from this delta's target. Only the result is validated when it is applied, so a merge
    /// skips a version that is not valid itself.
    Result<ConfigurationDelta> tryMerge(const ConfigurationDelta &next) const;
};

} // namespace Fuchsiastep

#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibCore/Digest.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

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

    /// The delta from \a base to the next version in which \a stored are new or replaced and \a removed are gone.
    /// No object is named twice. The result is validated only when the delta is applied.
    static ConfigurationDelta onTopOf(const Configuration &base, std::vector<DeclaredObject> stored, std::vector<ObjectName> removed);

    /// The delta from \a base to \a version, which consists of exactly \a objects.
    static ConfigurationDelta between(const Configuration &base, std::vector<DeclaredObject> objects, ConfigurationVersion version);

    /// msgpack, for ConfigurationPushFrame and the rows change/<version>.
    std::string encode() const;
    /// Fails with DeclarationMalformed.
    static Result<ConfigurationDelta> tryDecode(std::string_view bytes);

    /// One delta that has the effect of this one and then \a next. Fails with BaseMismatch where \a next does
    /// not start from this delta's target. Only the result is validated when it is applied, so a merge
    /// skips a version that is not valid itself.
    Result<ConfigurationDelta> tryMerge(const ConfigurationDelta &next) const;
    /// Merges a chain of one or more deltas in time proportional to their sum. Fails like tryMerge().
    static Result<ConfigurationDelta> tryMergeChain(const std::vector<const ConfigurationDelta *> &chain);
};

} // namespace Fuchsiastep

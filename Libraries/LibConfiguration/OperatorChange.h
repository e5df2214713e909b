#pragma once

#include <LibConfiguration/Configuration.h>

#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// A change of one object.
struct ObjectChange
{
    ObjectName name;
    /// The new value, whose name is \a name; nothing removes the object.
    std::optional<DeclaredObject> value;
    /// The version that last wrote the object as the operator knows it; 0 where it must not exist, nothing where
    /// any state will do.
    std::optional<ConfigurationVersion> expectedRevision;
    /// The version of the configuration that the operator started from: a later write or removal of the object is a
    /// conflict. Nothing where any state will do.
    std::optional<ConfigurationVersion> unchangedSince;
};

/// What an operator asks for. All of it is accepted as one version, or none.
struct OperatorChange
{
    /// Chosen by the operator's tool; a repeated submission carries the same one. 1 to 128 characters of
    /// A-Z, a-z, 0-9, '.', '_' and '-'.
    std::string operationId;
    /// The operation was submitted before and its answer is not known. Where the platform fails, the outcome of the
    /// earlier submission remains unknown too.
    bool isRepeated = false;
    std::string operatorName;
    std::string comment;
    std::vector<ObjectChange> changes;
};

} // namespace Fuchsiastep

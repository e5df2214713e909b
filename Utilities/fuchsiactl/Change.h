#pragma once

#include <fuchsiactl/ObjectSet.h>
#include <fuchsiactl/Options.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// A change as it is submitted.
struct Change
{
    std::string operation;
    std::string operatorName;
    std::string comment;
    /// The version from which the operator started.
    std::uint64_t baseVersion = 0;
    ObjectSet stored;
    std::vector<ObjectName> removed;

    /// A change without objects, with the operation id of the options or a random one.
    static Change from(const Options &options, std::uint64_t baseVersion);

    /// The body of POST /v1/operator/changes.
    JsonValue toJson() const;
};

} // namespace Fuchsiastep::ControlTool

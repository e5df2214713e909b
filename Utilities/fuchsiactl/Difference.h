#pragma once

#include <fuchsiactl/ObjectSet.h>

#include <string>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// What declarations would change in the objects in force.
struct Difference
{
    /// Declared and not in force.
    ObjectSet added;
    /// Declared, and in force with other fields.
    ObjectSet changed;
    /// One line for each field that differs, by object: "rules.timeout_ms: 5000 -> 3000".
    std::map<ObjectName, std::vector<std::string>> changedFields;
    /// In force and not declared.
    std::vector<ObjectName> undeclared;

    static Difference between(const ObjectSet &inForce, const ObjectSet &declared);

    bool isEmpty(bool isPruning) const;
    /// One line for each object and changed field. Undeclared objects are listed as removed only where \a isPruning.
    std::string toText(bool isPruning) const;
    JsonValue toJson(bool isPruning) const;
};

} // namespace Fuchsiastep::ControlTool

#pragma once

#include <LibCore/JsonValue.h>

#include <map>
#include <string>

namespace Fuchsiastep::ControlTool {

/// The fields of a JSON value by dotted path ("rules.timeout_ms"), each value as JSON text. Lists are one field.
std::map<std::string, std::string> listFields(const JsonValue &value);

/// A member of an object as people read it: strings without quotes, other values as JSON text; empty where it is missing.
std::string fieldText(const JsonValue &object, const std::string &name);

} // namespace Fuchsiastep::ControlTool

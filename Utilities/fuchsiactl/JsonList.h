#pragma once

#include <LibCore/JsonValue.h>

#include <string>

namespace Fuchsiastep::ControlTool {

/// The list \a name of an object; empty where it is missing or no list.
const JsonValue::Array &listOf(const JsonValue &object, const std::string &name);

} // namespace Fuchsiastep::ControlTool

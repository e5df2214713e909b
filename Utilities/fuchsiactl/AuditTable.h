#pragma once

#include <LibCore/JsonValue.h>

#include <string>

namespace Fuchsiastep::ControlTool {

/// The answer of GET /v1/operator/audit as a table with one line for each entry; times are UTC.
std::string formatAudit(const JsonValue &answer);

} // namespace Fuchsiastep::ControlTool

#pragma once

#include <LibCore/JsonValue.h>
#include <LibCore/Result.h>

#include <span>
#include <string>

namespace Fuchsiastep::ControlTool {

/// The object with labels set ("track=stable") and removed ("track-"). Fails with CommandLineInvalid where an edit is
/// neither, names a label twice, or removes a label that the object does not have.
Result<JsonValue> tryEditLabels(const JsonValue &object, std::span<const std::string> edits);

} // namespace Fuchsiastep::ControlTool

#pragma once

#include <fuchsiactl/Change.h>
#include <fuchsiactl/Verb.h>

namespace Fuchsiastep::ControlTool {

/// Submits a change as the flags say: shows \a summary, submits unless --dry-run, and waits where --wait is given.
/// Fails with what the submission gave.
Result<ExitCode> tryRunChange(const VerbContext &context, const Change &change, const std::string &summary);

} // namespace Fuchsiastep::ControlTool

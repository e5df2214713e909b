#pragma once

#include <fuchsiactl/Verb.h>

namespace Fuchsiastep::ControlTool {

// One function for each verb, each in its own file. They fail with the error that the proxy or the transport gave.

Result<ExitCode> tryRunCheck(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunDiff(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunApply(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunRemove(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunLabel(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunShow(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunStatus(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunWait(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunAudit(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunMembers(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunRoutes(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunDrain(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunExplain(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunCodes(const VerbContext &context, const Arguments &arguments);
Result<ExitCode> tryRunEvents(const VerbContext &context, const Arguments &arguments);

} // namespace Fuchsiastep::ControlTool

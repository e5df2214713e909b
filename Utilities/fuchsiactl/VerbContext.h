#pragma once

#include <LibCore/Result.h>
#include <fuchsiactl/ControlPoint.h>
#include <fuchsiactl/Options.h>
#include <fuchsiactl/OutputFormat.h>

namespace Fuchsiastep::ControlTool {

/// What a verb works with.
struct VerbContext
{
    const Options &options;
    ControlPoint &control;
    const OutputFormat &output;
};

} // namespace Fuchsiastep::ControlTool

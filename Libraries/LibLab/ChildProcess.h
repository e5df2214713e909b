#pragma once

#include <LibCore/Result.h>
#include <LibLab/ProcessCommand.h>

#include <gio/gio.h>

namespace Fuchsiastep {

/// Starts a program whose standard output is a pipe. It is killed when this process ends, however it ends.
/// The caller owns the reference. Fails with FileUnreadable.
Result<GSubprocess *> tryStartChild(const ProcessCommand &command);

} // namespace Fuchsiastep

#pragma once

#include <LibCore/Clock.h>

#include <functional>

namespace Fuchsiastep {

/// Runs the default main context until \a isDone holds. Returns false where that took longer than \a limit.
bool runLoopUntil(const std::function<bool()> &isDone, Duration limit);

} // namespace Fuchsiastep

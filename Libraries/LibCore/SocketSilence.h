#pragma once

#include <LibCore/Clock.h>

#include <gio/gio.h>

namespace Fuchsiastep {

/// Ends a TCP connection when sent bytes stay unacknowledged, or keep-alive probes unanswered, for about \a limit. Without
/// it a connection that went silent hangs until the timeouts of the operating system, which take minutes.
void limitSilence(GSocket *socket, Duration limit);

} // namespace Fuchsiastep

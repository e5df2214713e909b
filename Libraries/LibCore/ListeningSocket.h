#pragma once

#include <LibCore/Result.h>
#include <LibCore/SocketAddress.h>

#include <gio/gio.h>

namespace Fuchsiastep {

/// A non-blocking TCP socket that listens on \a address, which receives the port that the kernel chose
/// for port 0. The caller owns the reference. Fails with ListenFailed.
Result<GSocket *> tryOpenListeningSocket(SocketAddress &address);

} // namespace Fuchsiastep

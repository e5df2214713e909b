#pragma once

#include <LibCore/SocketAddress.h>

#include <gio/gio.h>

namespace Fuchsiastep {

/// A non-blocking socket bound to \a address, which receives the port that the kernel chose for port 0.
/// The caller owns the reference. Fails with ListenFailed.
Result<GSocket *> tryBindSocket(SocketAddress &address, GSocketType type, GSocketProtocol protocol);

} // namespace Fuchsiastep

#pragma once

#include <LibPlatform/LibPlatform.h>

#include <functional>

namespace Fuchsiastep {

/// Makes a call that decision code asked for. \a onReply receives the answer under the id of the call, in a later turn
/// of the main context.
void sendPlatformCall(PlatformClient &platform, PlatformCall call, std::function<void(PlatformReply reply)> onReply);

} // namespace Fuchsiastep

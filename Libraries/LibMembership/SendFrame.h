#pragma once

#include <LibCore/SocketAddress.h>
#include <LibWire/Frame.h>

#include <string>

namespace Fuchsiastep {

/// Output of decision code: send a frame to the proxy with the id \a peer.
struct SendFrame
{
    std::string peer;
    Frame frame;
};

/// Output of decision code: send a frame to a proxy of which only the address is known.
struct SendFrameToAddress
{
    SocketAddress address;
    Frame frame;
};

} // namespace Fuchsiastep

#pragma once

#include <LibWire/Frame.h>

#include <string>

namespace Fuchsiastep {

/// Input of decision code: a frame from the proxy with the id \a peer.
struct PeerFrame
{
    std::string peer;
    Frame frame;
};

} // namespace Fuchsiastep

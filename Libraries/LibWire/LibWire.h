#pragma once

// The public header of LibWire: frames between proxies, their codec and the sockets that carry them.

#include <LibWire/DatagramSocket.h>
#include <LibWire/Frame.h>
#include <LibWire/FrameBuffer.h>
#include <LibWire/FrameCodec.h>
#include <LibWire/FrameType.h>
#include <LibWire/HttpStatus.h>
#include <LibWire/PeerConnection.h>
#include <LibWire/TcpListener.h>
#include <LibWire/TcpStream.h>

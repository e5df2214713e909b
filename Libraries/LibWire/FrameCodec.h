#pragma once

#include <LibCore/Result.h>
#include <LibWire/Frame.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// Longest frame body in bytes. A request travels in one frame, with a body of up to 1 MiB and its header fields.
constexpr std::size_t MaximumFrameBytes = 2 * 1024 * 1024;
/// Length prefix of a frame in bytes, big-endian.
constexpr std::size_t FrameHeaderBytes = 4;

/// The frame as it is sent: length prefix and msgpack body.
std::string encodeFrame(const Frame &frame);

/// Reads the body of one frame. Fails with FrameMalformed or FrameUnknownType.
Result<Frame> tryDecodeFrame(std::string_view body);

} // namespace Fuchsiastep

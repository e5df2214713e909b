#pragma once

#include <LibCore/Result.h>
#include <LibWire/FrameCodec.h>

#include <optional>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// Cuts a byte stream into frames.
class FrameBuffer
{
public:
    void append(std::string_view bytes);

    /// The next whole frame, or nothing while it is not complete. After a failure (FrameTooLong,
    /// FrameMalformed, FrameUnknownType) the stream cannot be read further.
    Result<std::optional<Frame>> tryNext();

    /// True where the stream ended in the middle of a frame.
    bool hasPartialFrame() const
    {
        return m_begin < m_bytes.size();
    }

private:
    std::string m_bytes;
    std::size_t m_begin = 0;
};

} // namespace Fuchsiastep

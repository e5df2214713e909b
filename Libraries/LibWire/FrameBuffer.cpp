#include <LibWire/FrameBuffer.h>

namespace Fuchsiastep {

void FrameBuffer::append(std::string_view bytes)
{
    if (m_begin > 0) {
        m_bytes.erase(0, m_begin);
        m_begin = 0;
    }
    m_bytes.append(bytes);
}

Result<std::optional<Frame>> FrameBuffer::tryNext()
{
    const std::string_view unread = std::string_view(m_bytes).substr(m_begin);
    if (unread.size() < FrameHeaderBytes) {
        return std::optional<Frame>();
    }
    std::size_t length = 0;
    for (std::size_t i = 0; i < FrameHeaderBytes; ++i) {
        length = (length << 8) | static_cast<unsigned char>(unread[i]);
    }
    if (length > MaximumFrameBytes) {
        return Error {ErrorCode::FrameTooLong, std::to_string(length) + " bytes"};
    }
    if (unread.size() < FrameHeaderBytes + length) {
        return std::optional<Frame>();
    }
    Result<Frame> frame = tryDecodeFrame(unread.substr(FrameHeaderBytes, length));
    if (isError(frame)) {
        return errorOf(frame);
    }
    m_begin += FrameHeaderBytes + length;
    return std::optional<Frame>(valueOf(std::move(frame)));
}

} // namespace Fuchsiastep

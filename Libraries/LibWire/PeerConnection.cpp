#include <LibWire/PeerConnection.h>

#include <set>
#include <vector>

namespace Fuchsiastep {

/// A peer that acknowledges nothing for this long is taken for gone: the network between proxies answers within
/// milliseconds, and three lost packets in a row are retransmitted within this time.
static constexpr Duration SilenceLimit = std::chrono::milliseconds(1500);
/// A connection between regions opens within 50 ms. Behind a cut it never does, and a request that waits for it has run
/// nowhere: the sooner that is known, the more of its time is left for another upstream.
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

struct PeerConnection::State : std::enable_shared_from_this<PeerConnection::State>
{
    std::unique_ptr<TcpStream> stream;
    FrameBuffer input;
    FrameHandler onFrame;
    ClosedHandler onClosed;

    TcpStream::BytesHandler bytesHandler()
    {
        return [weak = weak_from_this()](std::string_view bytes) {
            if (const auto self = weak.lock()) {
                self->input.append(bytes);
                self->deliver();
            }
        };
    }

    TcpStream::EndHandler endHandler()
    {
        return [weak = weak_from_this()](const StreamEnd &end) {
            if (const auto self = weak.lock()) {
                self->fail(self->errorOfEnd(end));
            }
        };
    }

    Error errorOfEnd(const StreamEnd &end) const
    {
        if (end.neverConnected) {
            return {ErrorCode::ConnectionRefused, end.detail};
        }
        if (end.isOrderly && input.hasPartialFrame()) {
            return {ErrorCode::FrameTruncated, "the peer closed in the middle of a frame"};
        }
        return {ErrorCode::ConnectionClosed, end.detail};
    }

    void fail(const Error &error)
    {
        stream->close();
        const ClosedHandler handler = std::move(onClosed);
        onClosed = nullptr;
        onFrame = nullptr;
        if (handler) {
            handler(error);
        }
    }

    /// Moves the whole frames that have arrived to \a frames. Returns the error behind them, if there is one.
    std::optional<Error> takeFrames(std::vector<Frame> &frames)
    {
        while (true) {
            Result<std::optional<Frame>> next = input.tryNext();
            if (isError(next)) {
                return errorOf(next);
            }
            std::optional<Frame> frame = valueOf(std::move(next));
            if (!frame) {
                return std::nullopt;
            }
            frames.push_back(std::move(*frame));
        }
    }

    void deliver()
    {
        std::vector<Frame> frames;
        const std::optional<Error> error = takeFrames(frames);
        std::set<std::uint64_t> cancelled;
        for (const Frame &frame : frames) {
            if (const auto *cancel = std::get_if<CancelFrame>(&frame)) {
                cancelled.insert(cancel->requestId);
            }
        }
        for (Frame &frame : frames) {
            // A proxy that is short of processor time finds both in one read; the request must not start in between.
            const auto *request = std::get_if<RequestFrame>(&frame);
            if (request != nullptr && cancelled.contains(request->requestId)) {
                continue;
            }
            if (!stream->isOpen() || !onFrame) {
                return;
            }
            // The handler may destroy the connection and with it the stored function.
            const FrameHandler handler = onFrame;
            handler(std::move(frame));
        }
        if (error && stream->isOpen()) {
            fail(*error);
        }
    }
};

PeerConnection::PeerConnection(std::shared_ptr<State> state) : m_state(std::move(state))
{ }

PeerConnection::~PeerConnection()
{
    close();
}

std::unique_ptr<PeerConnection> PeerConnection::connect(const SocketAddress &remote, FrameHandler onFrame, ClosedHandler onClosed)
{
    auto state = std::make_shared<State>();
    state->onFrame = std::move(onFrame);
    state->onClosed = std::move(onClosed);
    state->stream = TcpStream::connect(remote, state->bytesHandler(), state->endHandler());
    state->stream->setSilenceLimit(SilenceLimit);
    state->stream->setConnectTimeout(ConnectTimeout);
    return std::unique_ptr<PeerConnection>(new PeerConnection(std::move(state)));
}

std::unique_ptr<PeerConnection> PeerConnection::adopt(GSocket *socket, FrameHandler onFrame, ClosedHandler onClosed)
{
    auto state = std::make_shared<State>();
    state->onFrame = std::move(onFrame);
    state->onClosed = std::move(onClosed);
    state->stream = TcpStream::adopt(socket, state->bytesHandler(), state->endHandler());
    state->stream->setSilenceLimit(SilenceLimit);
    return std::unique_ptr<PeerConnection>(new PeerConnection(std::move(state)));
}

void PeerConnection::send(const Frame &frame)
{
    if (m_state->stream->isOpen()) {
        m_state->stream->send(encodeFrame(frame));
    }
}

void PeerConnection::close()
{
    m_state->onFrame = nullptr;
    m_state->onClosed = nullptr;
    m_state->stream->close();
}

bool PeerConnection::isOpen() const
{
    return m_state->stream->isOpen();
}

std::size_t PeerConnection::bytesQueued() const
{
    return m_state->stream->bytesQueued();
}

std::uint64_t PeerConnection::bytesSent() const
{
    return m_state->stream->bytesSent();
}

std::uint64_t PeerConnection::bytesReceived() const
{
    return m_state->stream->bytesReceived();
}

} // namespace Fuchsiastep

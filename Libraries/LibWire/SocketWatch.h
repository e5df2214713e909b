#pragma once

#include <cstdint>
#include <functional>

namespace Fuchsiastep {

/// Watches one socket on the default main context. All watched sockets share one epoll descriptor and one source of the
/// main loop: with a source for each socket, every turn of the loop would look at every open connection, which grows with
/// the fleet.
class SocketWatch
{
public:
    struct Readiness
    {
        /// Errors and the end of the connection make the socket both readable and writable.
        bool isReadable = false;
        bool isWritable = false;
        /// The peer has ended its direction; bytes that it sent before may still wait to be read.
        bool hasPeerEnded = false;
    };
    using ReadyHandler = std::function<void(const Readiness &readiness)>;

    /// The descriptor has to stay open as long as the watch. The handler may destroy the watch.
    SocketWatch(int descriptor, ReadyHandler onReady);
    ~SocketWatch();
    SocketWatch(const SocketWatch &) = delete;
    SocketWatch &operator=(const SocketWatch &) = delete;

    void setReads(bool isWanted);
    void setWrites(bool isWanted);

private:
    void update(std::uint32_t events);

    int m_descriptor;
    std::uint64_t m_id = 0;
    /// Events of epoll that are asked for; 0 while the socket is not registered.
    std::uint32_t m_events = 0;
};

} // namespace Fuchsiastep

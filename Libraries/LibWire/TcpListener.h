#pragma once

#include <LibCore/SocketAddress.h>

#include <gio/gio.h>

#include <functional>
#include <memory>

namespace Fuchsiastep {

/// Accepts TCP connections on the default main context.
class TcpListener
{
public:
    using AcceptHandler = std::function<void(GSocket *socket)>;

    /// Listens at \a address; port 0 lets the kernel choose. Fails with ListenFailed.
    static Result<std::unique_ptr<TcpListener>> tryListen(const SocketAddress &address, AcceptHandler onAccept);

    ~TcpListener();
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// The address with the port in use.
    const SocketAddress &address() const
    {
        return m_address;
    }

private:
    TcpListener() = default;
    void accept();

    GSocket *m_socket = nullptr;
    GSource *m_source = nullptr;
    SocketAddress m_address;
    AcceptHandler m_onAccept;
};

} // namespace Fuchsiastep

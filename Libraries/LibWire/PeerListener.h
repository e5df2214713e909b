#pragma once

#include <LibCore/SocketAddress.h>

#include <gio/gio.h>

#include <functional>
#include <memory>

namespace Fuchsiastep {

/// Accepts connections from other proxies on the default main context.
class PeerListener
{
public:
    using AcceptHandler = std::function<void(GSocket *socket)>;

    /// Listens at \a address; port 0 lets the kernel choose. Fails with ListenFailed.
    static Result<std::unique_ptr<PeerListener>> tryListen(const SocketAddress &address, AcceptHandler onAccept);

    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

    /// The address with the port in use.
    const SocketAddress &address() const
    {
        return m_address;
    }

private:
    PeerListener() = default;
    void accept();

    GSocket *m_socket = nullptr;
    GSource *m_source = nullptr;
    SocketAddress m_address;
    AcceptHandler m_onAccept;
};

} // namespace Fuchsiastep

#pragma once

#include <LibLab/LabProcess.h>

namespace Fuchsiastep {

/// A forwarder process between one data centre and the platform.
class PlatformLink
{
public:
    /// \a ip is the link's own loopback address.
    PlatformLink(std::string programFolder, std::string ip, SocketAddress platform);

    /// Starts the forwarder, at the same address as before. Fails with FileUnreadable or ListenFailed.
    Result<Done> tryConnect();
    /// Connections break and new ones are refused.
    void cut();
    /// Connections stay and carry nothing.
    void freeze();
    void thaw();

    const SocketAddress &address() const
    {
        return m_address;
    }

private:
    std::string m_programFolder;
    SocketAddress m_address;
    SocketAddress m_platform;
    std::unique_ptr<LabProcess> m_process;
};

} // namespace Fuchsiastep

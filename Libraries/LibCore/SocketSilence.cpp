#include <LibCore/SocketSilence.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace Fuchsiastep {

void limitSilence(GSocket *socket, Duration limit)
{
    constexpr int ProbeCount = 3;
    constexpr int MillisecondsPerSecond = 1000;
    const auto milliseconds = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    const int probeSeconds = std::max(1, milliseconds / MillisecondsPerSecond / ProbeCount);
    g_socket_set_keepalive(socket, TRUE);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount, nullptr);
}

} // namespace Fuchsiastep

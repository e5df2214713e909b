#include <LibLab/PlatformLink.h>

#include <LibLab/LabLoop.h>

#include <csignal>

namespace Fuchsiastep {

static constexpr Duration StartLimit = std::chrono::seconds(20);

PlatformLink::PlatformLink(std::string programFolder, std::string ip, SocketAddress platform)
    : m_programFolder(std::move(programFolder)), m_address {std::move(ip), 0}, m_platform(std::move(platform))
{ }

Result<Done> PlatformLink::tryConnect()
{
    Result<std::unique_ptr<LabProcess>> process = LabProcess::tryStart(
        {m_programFolder + "/link-stand-in", {"--listen=" + m_address.toString(), "--target=" + m_platform.toString()}, {}});
    if (isError(process)) {
        return errorOf(process);
    }
    m_process = valueOf(std::move(process));
    runLoopUntil([this] { return m_process->isStarted(); }, StartLimit);
    const std::optional<SocketAddress> address = m_process->addressOf("link");
    if (!address) {
        return Error {ErrorCode::ListenFailed, "link-stand-in at " + m_address.toString()};
    }
    m_address = *address;
    return Done {};
}

void PlatformLink::cut()
{
    m_process->kill();
}

void PlatformLink::freeze()
{
    m_process->signal(SIGSTOP);
}

void PlatformLink::thaw()
{
    m_process->signal(SIGCONT);
}

} // namespace Fuchsiastep

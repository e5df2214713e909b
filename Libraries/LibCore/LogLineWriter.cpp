#include <LibCore/LogLineWriter.h>

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <string>

namespace Fuchsiastep {

bool LogLineWriter::write(std::string_view line)
{
    // A pipe that is ready takes PIPE_BUF bytes at once and whole, so that a blocking descriptor does not block here.
    pollfd ready {m_descriptor, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        ++m_dropped;
        return false;
    }
    std::string cut;
    if (line.size() > PIPE_BUF) {
        cut = std::string(line.substr(0, PIPE_BUF - 1)) + '\n';
        line = cut;
    }
    const bool isWritten = ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    m_dropped += isWritten ? 0 : 1;
    return isWritten;
}

} // namespace Fuchsiastep

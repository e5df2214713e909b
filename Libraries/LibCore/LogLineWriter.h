#pragma once

#include <cstdint>
#include <string_view>

namespace Fuchsiastep {

/// Writes log lines to a descriptor and never waits for its reader: a line that a full pipe would not take at once is
/// dropped and counted.
class LogLineWriter
{
public:
    explicit LogLineWriter(int descriptor) : m_descriptor(descriptor)
    { }

    /// False where the line was dropped. A line is cut at the size that a pipe takes whole.
    bool write(std::string_view line);

    std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    int m_descriptor;
    std::uint64_t m_dropped = 0;
};

} // namespace Fuchsiastep

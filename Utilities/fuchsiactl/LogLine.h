#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// One line of the log of fuchsiastepd.
struct LogLine
{
    /// The instance that wrote the line: the word before the time, where a collector put one there; else the file's name.
    std::string source;
    /// As written by the clock of the instance.
    std::string time;
    std::string event;
    /// In the order of the line, without the event.
    std::vector<std::pair<std::string, std::string>> fields;

    /// Empty where the line has no such field.
    std::string_view field(std::string_view name) const;
};

/// Nothing for a line that no event wrote.
std::optional<LogLine> parseLogLine(std::string_view text, std::string_view fileName);

} // namespace Fuchsiastep::ControlTool

#pragma once

#include <LibCore/LogEvent.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// A named value of a log line.
struct LogField
{
    LogField(std::string_view fieldName, std::string_view text) : name(fieldName), value(text)
    { }
    LogField(std::string_view fieldName, const char *text) : name(fieldName), value(text)
    { }
    template<typename Number>
    requires std::is_arithmetic_v<Number> LogField(std::string_view fieldName, Number number)
        : name(fieldName), value(std::to_string(number))
    { }

    std::string_view name;
    std::string value;
};

enum class LogOutput {
    StandardError,
    StandardOutput,
};

/// Sends log lines to \a output. \a level is the lowest that is written. Lines beyond LogRateLimit, and lines that a slow
/// reader would hold up, are left out and counted.
void startLogging(LogLevel level, LogOutput output = LogOutput::StandardError);

/// Lines that were dropped because the reader of the log was too slow.
std::uint64_t droppedLogLines();

/// Nothing when \a name is not debug, info, warning or error.
bool tryParseLogLevel(std::string_view name, LogLevel &level);

/// Writes one structured line: time, level, number and name of the event, and name=value for each field.
void logEvent(LogEvent event, std::initializer_list<LogField> fields = {});

} // namespace Fuchsiastep

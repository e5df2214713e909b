#include <LibCore/LibCore.h>

#include <array>
#include <fstream>
#include <iostream>

using namespace Fuchsiastep;

static std::string_view nameOf(LogLevel level)
{
    static constexpr std::array<std::string_view, 4> Names {"debug", "info", "warning", "error"};
    return Names.at(static_cast<std::size_t>(level));
}

static void writeErrors(std::ostream &file)
{
    file << "# Result codes\n\n"
            "Every failure has a number that does not change. Callers see it in the header\n"
            "`fuchsiastep-code` and in the body, operators in the output of `fuchsiactl`.\n"
            "`Meta/update-tables.sh` writes this page from the table in `Libraries/LibCore/ErrorCode.cpp`.\n\n"
            "| number | name | HTTP status | meaning |\n|---|---|---|---|\n";
    for (const ErrorCodeInfo &info : errorCodeTable()) {
        file << "| " << static_cast<unsigned>(info.code) << " | `" << info.name << "` | " << info.httpStatus << " | " << info.description
             << " |\n";
    }
}

static void writeEvents(std::ostream &file)
{
    file << "# Log events\n\n"
            "Each log line carries the number and the name of its event, and named fields:\n\n"
            "    2026-12-04T05:20:00.000 INFO  event=4000 name=ConfigurationAdopted version=7\n\n"
            "`Meta/update-tables.sh` writes this page from the table in `Libraries/LibCore/LogEvent.cpp`.\n\n"
            "| number | name | level | meaning |\n|---|---|---|---|\n";
    for (const LogEventInfo &info : logEventTable()) {
        file << "| " << static_cast<unsigned>(info.event) << " | `" << info.name << "` | " << nameOf(info.level) << " | "
             << info.description << " |\n";
    }
}

/// Writes docs/errors.md and docs/log-events.md into the folder given on the command line.
int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: document-tables FOLDER\n";
        return 2;
    }
    const std::string folder = argv[1];
    std::ofstream errors(folder + "/errors.md");
    writeErrors(errors);
    std::ofstream events(folder + "/log-events.md");
    writeEvents(events);
    return errors && events ? 0 : 1;
}

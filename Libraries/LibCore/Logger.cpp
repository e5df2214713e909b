#include <LibCore/Logger.h>

#include <LibCore/LogLineWriter.h>
#include <LibCore/LogRateLimit.h>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

#include <array>
#include <memory>
#include <optional>
#include <utility>

namespace Fuchsiastep {

static constexpr std::array LogLevelNames {
    std::pair {LogLevel::Debug, std::string_view("debug")},
    std::pair {LogLevel::Info, std::string_view("info")},
    std::pair {LogLevel::Warning, std::string_view("warning")},
    std::pair {LogLevel::Error, std::string_view("error")},
};

static log4cxx::LevelPtr libraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

namespace {

/// Hands each formatted line to a LogLineWriter.
class LineAppender : public log4cxx::AppenderSkeleton
{
public:
    LineAppender(log4cxx::LayoutPtr lineLayout, int descriptor) : m_lineLayout(std::move(lineLayout)), m_writer(descriptor)
    { }

    void close() override
    { }
    bool requiresLayout() const override
    {
        return false;
    }
    std::uint64_t dropped() const
    {
        return m_writer.dropped();
    }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        log4cxx::LogString line;
        m_lineLayout->format(line, event, pool);
        m_writer.write(line);
    }

private:
    // AppenderSkeleton of log4cxx 1.0 drops the layout that its constructor is given.
    log4cxx::LayoutPtr m_lineLayout;
    LogLineWriter m_writer;
};

} // namespace

static std::shared_ptr<LineAppender> &programAppender()
{
    static std::shared_ptr<LineAppender> appender;
    return appender;
}

static LogRateLimit &programRateLimit()
{
    static const Clock SystemClock = Clock::system();
    static LogRateLimit limit(SystemClock);
    return limit;
}

static log4cxx::LoggerPtr &programLogger()
{
    static log4cxx::LoggerPtr logger;
    return logger;
}

void startLogging(LogLevel level, LogOutput output)
{
    const log4cxx::LayoutPtr layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p %m%n"));
    const auto appender = std::make_shared<LineAppender>(layout, output == LogOutput::StandardOutput ? STDOUT_FILENO : STDERR_FILENO);
    log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("fuchsiastep");
    logger->removeAllAppenders();
    logger->addAppender(appender);
    logger->setAdditivity(false);
    logger->setLevel(libraryLevel(level));
    programLogger() = logger;
    programAppender() = appender;
}

std::uint64_t droppedLogLines()
{
    return programAppender() != nullptr ? programAppender()->dropped() : 0;
}

bool tryParseLogLevel(std::string_view name, LogLevel &level)
{
    for (const auto &[candidate, candidateName] : LogLevelNames) {
        if (candidateName == name) {
            level = candidate;
            return true;
        }
    }
    return false;
}

static void appendField(std::string &line, const LogField &field)
{
    line += ' ';
    line += field.name;
    line += '=';
    const bool needsQuotes = field.value.empty() || field.value.find_first_of(" \"=\n\r") != std::string::npos;
    if (!needsQuotes) {
        line += field.value;
        return;
    }
    line += '"';
    for (const char character : field.value) {
        // A line break or quote from outside must not forge a second log line or field.
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += (character == '\n' || character == '\r') ? ' ' : character;
    }
    line += '"';
}

void logEvent(LogEvent event, std::initializer_list<LogField> fields)
{
    const log4cxx::LoggerPtr &logger = programLogger();
    const LogEventInfo &info = logEventInfo(event);
    const log4cxx::LevelPtr level = libraryLevel(info.level);
    if (!logger || !logger->isEnabledFor(level)) {
        return;
    }
    const std::optional<std::uint64_t> leftOut = programRateLimit().admit(event);
    if (!leftOut) {
        return;
    }
    std::string line = "event=" + std::to_string(static_cast<unsigned>(event)) + " name=" + std::string(info.name);
    for (const LogField &field : fields) {
        appendField(line, field);
    }
    if (*leftOut > 0) {
        appendField(line, {"left_out", *leftOut});
    }
    logger->forcedLog(level, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace Fuchsiastep

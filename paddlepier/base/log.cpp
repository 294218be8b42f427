// JSON log lines, formatted by log4cplus.

#include "paddlepier/base/log.h"

#include "paddlepier/base/boundedwriter.h"
#include "paddlepier/base/error.h"
#include "paddlepier/base/logratelimiter.h"

#include <absl/strings/str_cat.h>
#include <flatbuffers/util.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <utility>

namespace paddlepier::log
{

namespace
{

constexpr std::array<std::pair<std::string_view, Level>, 4> levelNames{{
    {"debug", Level::Debug},
    {"info", Level::Info},
    {"warning", Level::Warning},
    {"error", Level::Error},
}};

constexpr const char *linePattern = "{\"time\":\"%d{%Y-%m-%dT%H:%M:%S.%q}Z\",\"level\":\"%p\",%m}%n";

log4cplus::LogLevel toLibraryLevel(Level level)
{
    switch (level) {
    case Level::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case Level::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Level::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Level::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::string jsonValue(const Field::Value &value)
{
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        return absl::StrCat(*number);
    }
    if (const auto *real = std::get_if<double>(&value)) {
        return absl::StrCat(*real);
    }
    if (const auto *flag = std::get_if<bool>(&value)) {
        return *flag ? "true" : "false";
    }
    return jsonString(std::get<std::string>(value));
}

/** Holds a few seconds of lines at the highest expected load; if the reader of standard output stalls for longer, lines are dropped. */
constexpr std::size_t maxBufferedBytes = std::size_t{1} << 20U;

constexpr Duration flushTimeout = absl::Milliseconds(200);

/** Lines per event and second; above the rate of run starts and ends in the largest supported deployment. */
constexpr std::int64_t maxLinesPerSecond = 1000;

/** Formats lines with the layout of the library and passes them to a writer that never blocks. */
class WriterAppender : public log4cplus::Appender
{
public:
    WriterAppender()
    {
        current = this;
    }

    WriterAppender(const WriterAppender &) = delete;
    WriterAppender &operator=(const WriterAppender &) = delete;

    ~WriterAppender() override
    {
        current = nullptr;
        this->destructorImpl();
    }

    void close() override
    {
        this->closed = true;
    }

    static void flush()
    {
        if (WriterAppender *appender = current) {
            appender->writer.stop(flushTimeout);
        }
    }

    /** Lines dropped since the previous call; 0 before initialize(). */
    static std::int64_t drainDroppedCount()
    {
        WriterAppender *appender = current;
        return appender == nullptr ? 0 : appender->writer.drainDroppedCount();
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        this->writer.post(this->formatEvent(event));
    }

private:
    inline static std::atomic<WriterAppender *> current{nullptr};

    BoundedWriter writer{STDOUT_FILENO, maxBufferedBytes};
};

LogRateLimiter &rateLimiter()
{
    static LogRateLimiter limiter(maxLinesPerSecond);
    return limiter;
}

void writeLine(Level level, std::string_view component, std::string_view event, Fields fields)
{
    std::string line = absl::StrCat("\"component\":", jsonString(component), ",\"event\":", jsonString(event));
    for (const Field &field : fields) {
        absl::StrAppend(&line, ",", jsonString(field.name), ":", jsonValue(field.value));
    }
    log4cplus::Logger::getRoot().forcedLog(toLibraryLevel(level), line);
}

} // namespace

void initialize(Level lowest)
{
    static log4cplus::Initializer library;
    log4cplus::SharedAppenderPtr appender(new WriterAppender());
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(linePattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLibraryLevel(lowest));
}

void flushAndExit(int status)
{
    WriterAppender::flush();
    std::_Exit(status);
}

Level levelFromName(std::string_view name)
{
    for (const auto &[levelName, level] : levelNames) {
        if (levelName == name) {
            return level;
        }
    }
    throw InvalidSettingsError(absl::StrCat("unknown log level; expected debug, info, warning or error, got \"", std::string(name), "\""));
}

void write(Level level, std::string_view component, std::string_view event, Fields fields)
{
    if (!log4cplus::Logger::getRoot().isEnabledFor(toLibraryLevel(level))) {
        return;
    }
    const LogRateLimiter::Decision decision = rateLimiter().admit(event, controlNow());
    if (decision.suppressedLines > 0) {
        writeLine(Level::Warning, "log", "lines.left-out", {{"of", event}, {"lines", decision.suppressedLines}});
    }
    const std::int64_t dropped = WriterAppender::drainDroppedCount();
    if (dropped > 0) {
        writeLine(Level::Warning, "log", "lines.dropped", {{"reason", "the reader of standard output is slow"}, {"lines", dropped}});
    }
    if (decision.isAllowed) {
        writeLine(level, component, event, fields);
    }
}

std::string jsonString(std::string_view text)
{
    std::string escaped;
    flatbuffers::EscapeString(text.data(), text.size(), &escaped, true, false);
    return escaped;
}

} // namespace paddlepier::log

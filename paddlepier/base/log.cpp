// JSON lines through log4cplus.

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

/** Some seconds of lines at the highest load seen; a reader that stalls for longer loses lines. */
constexpr std::size_t mostWaitingBytes = std::size_t{1} << 20U;

constexpr Duration finishPatience = absl::Milliseconds(200);

/** Lines of one event in a second: above the starts and ends of the largest deployment aimed at. */
constexpr std::int64_t mostLinesPerSecond = 1000;

/** Formats lines by the library's layout and hands them to a writer that never waits. */
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

    static void finish()
    {
        if (WriterAppender *appender = current) {
            appender->writer.stop(finishPatience);
        }
    }

    /** Lines that were dropped since the last call; 0 where no output is set up. */
    static std::int64_t takeDropped()
    {
        WriterAppender *appender = current;
        return appender == nullptr ? 0 : appender->writer.takeDropped();
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        this->writer.post(this->formatEvent(event));
    }

private:
    inline static std::atomic<WriterAppender *> current{nullptr};

    BoundedWriter writer{STDOUT_FILENO, mostWaitingBytes};
};

LineBudget &lineBudget()
{
    static LineBudget budget(mostLinesPerSecond);
    return budget;
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

void finishAndExit(int status)
{
    WriterAppender::finish();
    std::_Exit(status);
}

Level levelFromName(std::string_view name)
{
    for (const auto &[levelName, level] : levelNames) {
        if (levelName == name) {
            return level;
        }
    }
    throw InvalidSettingsError(absl::StrCat("unknown log level \"", std::string(name), "\""));
}

void write(Level level, std::string_view component, std::string_view event, Fields fields)
{
    if (!log4cplus::Logger::getRoot().isEnabledFor(toLibraryLevel(level))) {
        return;
    }
    const LineBudget::Verdict verdict = lineBudget().take(event, controlNow());
    if (verdict.leftOut > 0) {
        writeLine(Level::Warning, "log", "lines.left-out", {{"of", event}, {"lines", verdict.leftOut}});
    }
    const std::int64_t dropped = WriterAppender::takeDropped();
    if (dropped > 0) {
        writeLine(Level::Warning, "log", "lines.dropped", {{"reason", "the reader of standard output is slow"}, {"lines", dropped}});
    }
    if (verdict.isAllowed) {
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

// JSON lines through log4cplus.

#include "paddlepier/base/log.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>
#include <flatbuffers/util.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <array>
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

} // namespace

void initialize(Level lowest)
{
    static log4cplus::Initializer library;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(linePattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLibraryLevel(lowest));
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
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    const log4cplus::LogLevel libraryLevel = toLibraryLevel(level);
    if (!root.isEnabledFor(libraryLevel)) {
        return;
    }
    std::string line = absl::StrCat("\"component\":", jsonString(component), ",\"event\":", jsonString(event));
    for (const Field &field : fields) {
        absl::StrAppend(&line, ",", jsonString(field.name), ":", jsonValue(field.value));
    }
    root.forcedLog(libraryLevel, line);
}

std::string jsonString(std::string_view text)
{
    std::string escaped;
    flatbuffers::EscapeString(text.data(), text.size(), &escaped, true, false);
    return escaped;
}

} // namespace paddlepier::log

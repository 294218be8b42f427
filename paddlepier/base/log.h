// Structured logging: one JSON object per line on standard output.
//
// Every line has `time`, `level`, `component` and `event`, followed by the fields of the event. Fields are typed, so that numbers are written
// as JSON numbers.
//
// Writing never blocks on the reader of standard output, and the lines of each event are limited per second. Lines that were dropped
// because the reader was too slow or suppressed by the limit are counted and reported by the events `lines.dropped` and `lines.left-out`.
//
// Example:
//     log::info("ledger", "leader.elected", {{"group", name}, {"term", term}});
//
// Thread safety: every function may be called from any thread.

#ifndef PADDLEPIER_BASE_LOG_H
#define PADDLEPIER_BASE_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace paddlepier::log
{

enum class Level { Debug, Info, Warning, Error };

/** Named value of a log line. */
struct Field {
    using Value = std::variant<std::int64_t, double, bool, std::string>;

    template<typename T>
    Field(std::string_view fieldName, const T &fieldValue)
        : name(fieldName)
        , value(toValue(fieldValue))
    {
    }

    std::string_view name;
    Value value;

private:
    template<typename T>
    static Value toValue(const T &fieldValue)
    {
        if constexpr (std::is_same_v<T, bool>) {
            return Value(fieldValue);
        } else if constexpr (std::is_integral_v<T>) {
            return Value(static_cast<std::int64_t>(fieldValue));
        } else if constexpr (std::is_floating_point_v<T>) {
            return Value(static_cast<double>(fieldValue));
        } else {
            return Value(std::string(fieldValue));
        }
    }
};

using Fields = std::initializer_list<Field>;

/** Sets up output and discards lines below @p lowest. Call once, before other threads start. */
void initialize(Level lowest);

/** Parses a level name as used in settings. @throws InvalidSettingsError if there is no such level */
Level levelFromName(std::string_view name);

/**
 * Flushes buffered lines, waiting at most 200 ms, and exits without destroying static objects.
 *
 * Destroying the logging library joins its threads, which delayed the exit of processes by seconds. Call this after everything else
 * has been shut down.
 */
[[noreturn]] void flushAndExit(int status);

/** Writes a line unless @p level is below the lowest level or the event has reached its limit for this second. */
void write(Level level, std::string_view component, std::string_view event, Fields fields);

inline void debug(std::string_view component, std::string_view event, Fields fields = {})
{
    write(Level::Debug, component, event, fields);
}

inline void info(std::string_view component, std::string_view event, Fields fields = {})
{
    write(Level::Info, component, event, fields);
}

inline void warning(std::string_view component, std::string_view event, Fields fields = {})
{
    write(Level::Warning, component, event, fields);
}

inline void error(std::string_view component, std::string_view event, Fields fields = {})
{
    write(Level::Error, component, event, fields);
}

/** Encodes @p text as a quoted JSON string; bytes that are not UTF-8 are escaped. */
std::string jsonString(std::string_view text);

} // namespace paddlepier::log

#endif

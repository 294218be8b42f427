// Structured logs: one JSON object a line on standard output.
//
// Every line has `time`, `level`, `component` and `event`, and then the event's own fields. Fields are typed, so that a
// number stays a number in JSON.
//
// Writing never waits for the reader of standard output, and each event has a budget of lines a second. What was lost or
// left out is told by a line of its own, `lines.dropped` or `lines.left-out`, with the count.
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

/** One named value of a log line. */
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

/** Sets up output; lines below @p lowest are dropped. Call once, before other threads start. */
void initialize(Level lowest);

/** Reads a level's name as written in settings; throws InvalidSettingsError for any other text. */
Level levelFromName(std::string_view name);

/**
 * Writes what waits, for a fifth of a second at most, and ends the process without destroying static objects.
 *
 * The logging library ends its own threads when it is destroyed, which has kept stopped processes for seconds. Call it when
 * everything that needs an orderly end has had it.
 */
[[noreturn]] void flushAndExit(int status);

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

/** @p text as a JSON string with its quotes; bytes that are not UTF-8 are escaped. */
std::string jsonString(std::string_view text);

} // namespace paddlepier::log

#endif

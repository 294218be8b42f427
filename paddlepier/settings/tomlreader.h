// Validating access to a TOML table.
//
// A reader returns values by key, checks their types and bounds, and records which keys were read. finish() then rejects
// all other keys, so that a misspelt key is an error instead of silently leaving the default in place.
//
// Thread safety: none; used only while settings are loaded.

#ifndef PADDLEPIER_SETTINGS_TOMLREADER_H
#define PADDLEPIER_SETTINGS_TOMLREADER_H

#include "paddlepier/base/clock.h"

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace paddlepier::detail
{

/** Reader of one table. Every failure is an InvalidSettingsError that names the file, line and key. */
class TomlReader
{
public:
    TomlReader(const std::string &fileName, const std::string &tableName, const toml::table &source);

    /** A string that must be present and not empty. */
    std::string requiredString(std::string_view key);
    std::string optionalString(std::string_view key, const std::string &fallback);
    bool boolean(std::string_view key, bool fallback);
    /** An integer from @p minimum to @p maximum. */
    std::uint32_t number(std::string_view key, std::uint32_t fallback, std::uint32_t minimum, std::uint32_t maximum);
    /** A duration, written as an integer number of milliseconds. */
    Duration milliseconds(std::string_view key, Duration fallback, Duration minimum, Duration maximum);
    /** An array of at least one string. */
    std::vector<std::string> requiredStrings(std::string_view key);

    /** Passes a reader of the sub-table to @p read, then rejects unread keys. A missing table is an error only if @p required. */
    void table(std::string_view key, bool required, const std::function<void(TomlReader &)> &read);
    /** As table(), for each element of an array of tables, which may be missing. */
    void tables(std::string_view key, const std::function<void(TomlReader &)> &read);

    /** All keys of the table; for tables whose keys are names chosen by the user. */
    std::vector<std::string> keys() const;

    /** Rejects every key that hasn't been read. */
    void finish() const;

    /** Throws the InvalidSettingsError for @p key, at the key's line, or at the table's line if the key is missing. */
    [[noreturn]] void fail(std::string_view key, const std::string &problem) const;

private:
    const toml::node *find(std::string_view key);
    std::string pathOf(std::string_view key) const;

    const std::string &file;
    const std::string name;
    const toml::table &values;
    /** Keys that have been read. */
    std::set<std::string, std::less<>> readKeys;
};

/** The content of a file. @throws InvalidSettingsError if it is empty or can't be read */
std::string readTextFile(const std::string &path);

} // namespace paddlepier::detail

#endif

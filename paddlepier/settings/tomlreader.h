// Checked access to one TOML table.
//
// A reader hands out values by key, within bounds, and knows which keys were asked for; finish() then refuses every
// other key, so that a misspelt one is an error and not silently a default.
//
// Thread safety: none; used while settings load.

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

/** Reader of one table; every failure is an InvalidSettingsError that names file, line and key. */
class TomlReader
{
public:
    TomlReader(const std::string &fileName, const std::string &tableName, const toml::table &source);

    /** A non-empty string. */
    std::string requiredText(std::string_view key);
    std::string optionalText(std::string_view key, const std::string &fallback);
    bool flag(std::string_view key, bool fallback);
    std::uint32_t number(std::string_view key, std::uint32_t fallback, std::uint32_t lowest, std::uint32_t highest);
    /** An integer number of milliseconds. */
    Duration milliseconds(std::string_view key, Duration fallback, Duration lowest, Duration highest);
    std::vector<std::string> requiredTexts(std::string_view key);

    /** Reads a sub-table, or an empty one if it's missing and not @p required. */
    void table(std::string_view key, bool required, const std::function<void(TomlReader &)> &read);
    /** Reads each element of an array of tables. */
    void tables(std::string_view key, const std::function<void(TomlReader &)> &read);

    /** All keys of the table, for tables whose keys are names. */
    std::vector<std::string> keys() const;

    /** Refuses every key that was not asked for. */
    void finish() const;

    [[noreturn]] void fail(std::string_view key, const std::string &problem) const;

private:
    const toml::node *find(std::string_view key);
    std::string pathOf(std::string_view key) const;

    const std::string &file;
    const std::string name;
    const toml::table &values;
    std::set<std::string, std::less<>> known;
};

/** The whole file. @throws InvalidSettingsError if it can't be read */
std::string readTextFile(const std::string &path);

} // namespace paddlepier::detail

#endif

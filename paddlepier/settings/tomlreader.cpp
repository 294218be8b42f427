// Validating access to a TOML table.

#include "paddlepier/settings/tomlreader.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <sstream>

namespace paddlepier::detail
{

TomlReader::TomlReader(const std::string &fileName, const std::string &tableName, const toml::table &source)
    : file(fileName)
    , name(tableName)
    , values(source)
{
}

std::string TomlReader::pathOf(std::string_view key) const
{
    return this->name.empty() ? std::string(key) : absl::StrCat(this->name, ".", std::string(key));
}

void TomlReader::fail(std::string_view key, const std::string &problem) const
{
    const toml::node *node = this->values.get(key);
    const auto line = node != nullptr ? node->source().begin.line : this->values.source().begin.line;
    throw InvalidSettingsError(absl::StrCat(this->file, ":", line, ": ", this->pathOf(key), ": ", problem));
}

const toml::node *TomlReader::find(std::string_view key)
{
    this->readKeys.emplace(key);
    return this->values.get(key);
}

std::string TomlReader::requiredString(std::string_view key)
{
    if (this->find(key) == nullptr) {
        this->fail(key, "is missing");
    }
    std::string text = this->optionalString(key, "");
    if (text.empty()) {
        this->fail(key, "must not be empty");
    }
    return text;
}

std::string TomlReader::optionalString(std::string_view key, const std::string &fallback)
{
    const toml::node *node = this->find(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_string()) {
        this->fail(key, "must be a string");
    }
    return node->as_string()->get();
}

bool TomlReader::boolean(std::string_view key, bool fallback)
{
    const toml::node *node = this->find(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_boolean()) {
        this->fail(key, "must be true or false");
    }
    return node->as_boolean()->get();
}

std::uint32_t TomlReader::number(std::string_view key, std::uint32_t fallback, std::uint32_t minimum, std::uint32_t maximum)
{
    const toml::node *node = this->find(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_integer()) {
        this->fail(key, "must be an integer");
    }
    const std::int64_t value = node->as_integer()->get();
    if (value < static_cast<std::int64_t>(minimum) || value > static_cast<std::int64_t>(maximum)) {
        this->fail(key, absl::StrCat("must be from ", minimum, " to ", maximum, ", is ", value));
    }
    return static_cast<std::uint32_t>(value);
}

Duration TomlReader::milliseconds(std::string_view key, Duration fallback, Duration minimum, Duration maximum)
{
    const auto toNumber = [](Duration duration) { return static_cast<std::uint32_t>(absl::ToInt64Milliseconds(duration)); };
    return absl::Milliseconds(this->number(key, toNumber(fallback), toNumber(minimum), toNumber(maximum)));
}

std::vector<std::string> TomlReader::requiredStrings(std::string_view key)
{
    const toml::node *node = this->find(key);
    if (node == nullptr || !node->is_array() || node->as_array()->empty()) {
        this->fail(key, "must be an array of at least one string");
    }
    std::vector<std::string> texts;
    for (const toml::node &element : *node->as_array()) {
        if (!element.is_string()) {
            this->fail(key, "must hold strings only");
        }
        texts.push_back(element.as_string()->get());
    }
    return texts;
}

void TomlReader::table(std::string_view key, bool required, const std::function<void(TomlReader &)> &read)
{
    const toml::node *node = this->find(key);
    if (node == nullptr) {
        if (required) {
            this->fail(key, "table is missing");
        }
        return;
    }
    if (!node->is_table()) {
        this->fail(key, "must be a table");
    }
    TomlReader reader(this->file, this->pathOf(key), *node->as_table());
    read(reader);
    reader.finish();
}

void TomlReader::tables(std::string_view key, const std::function<void(TomlReader &)> &read)
{
    const toml::node *node = this->find(key);
    if (node == nullptr) {
        return;
    }
    if (!node->is_array()) {
        this->fail(key, "must be an array of tables");
    }
    for (const toml::node &element : *node->as_array()) {
        if (!element.is_table()) {
            this->fail(key, "must be an array of tables");
        }
        TomlReader reader(this->file, this->pathOf(key), *element.as_table());
        read(reader);
        reader.finish();
    }
}

std::vector<std::string> TomlReader::keys() const
{
    std::vector<std::string> names;
    for (const auto &[key, node] : this->values) {
        names.emplace_back(key.str());
    }
    return names;
}

void TomlReader::finish() const
{
    for (const auto &[key, node] : this->values) {
        if (!this->readKeys.contains(key.str())) {
            this->fail(key.str(), "is not a known key");
        }
    }
}

std::string readTextFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        throw InvalidSettingsError(absl::StrCat(path, ":0: file: can't be read or is empty"));
    }
    return text.str();
}

} // namespace paddlepier::detail

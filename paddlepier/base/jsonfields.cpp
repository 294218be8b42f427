// Reads fields of JSON bodies with their types and bounds.

#include "paddlepier/base/jsonfields.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>

namespace paddlepier::json
{

namespace
{

/** Largest real number that is taken for a whole one: beyond it not every whole number has a real of its own. */
constexpr double mostReal = 9e15;

bool isWholeFromZero(const Json &value)
{
    return value.is_number_unsigned() || (value.is_number_integer() && value.get<std::int64_t>() >= 0)
           || (value.is_number_float() && value.get<double>() >= 0 && value.get<double>() <= mostReal);
}

std::uint64_t wholePartOf(const Json &value)
{
    return value.is_number_float() ? static_cast<std::uint64_t>(value.get<double>()) : value.get<std::uint64_t>();
}

} // namespace

Json parseObject(const std::string &body)
{
    Json value = Json::parse(body, nullptr, false);
    if (value.is_discarded()) {
        throw MalformedBodyError("the body is no JSON");
    }
    if (!value.is_object()) {
        throw MalformedBodyError("the body is no JSON object");
    }
    return value;
}

const Json *find(const Json &object, const char *name)
{
    if (!object.is_object()) {
        throw MalformedBodyError(absl::StrCat("an object with ", name, " is expected"));
    }
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::uint64_t numberOf(const Json &object, const char *name, std::uint64_t fallback, std::uint64_t most)
{
    const Json *value = find(object, name);
    if (value == nullptr) {
        return fallback;
    }
    if (!isWholeFromZero(*value)) {
        throw InvalidArgumentError(absl::StrCat(name, ": not a whole number from 0"));
    }
    const std::uint64_t number = wholePartOf(*value);
    if (number > most) {
        throw InvalidArgumentError(absl::StrCat(name, ": ", number, " is over ", most));
    }
    return number;
}

std::uint64_t positiveNumberOf(const Json &object, const char *name, std::uint64_t most)
{
    const Json *value = find(object, name);
    if (value == nullptr) {
        return 0;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() == 0 || value->get<std::uint64_t>() > most) {
        throw InvalidArgumentError(absl::StrCat(name, ": not a whole number from 1 to ", most));
    }
    return value->get<std::uint64_t>();
}

std::uint32_t uint32Of(const Json &object, const char *name, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(numberOf(object, name, fallback));
}

double realOf(const Json &object, const char *name, double fallback)
{
    const Json *value = find(object, name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number() || value->get<double>() < 0) {
        throw InvalidArgumentError(absl::StrCat(name, ": not a number from 0"));
    }
    return value->get<double>();
}

bool boolOf(const Json &object, const char *name)
{
    const Json *value = find(object, name);
    if (value != nullptr && !value->is_boolean()) {
        throw InvalidArgumentError(absl::StrCat(name, ": neither true nor false"));
    }
    return value != nullptr && value->get<bool>();
}

std::string textOf(const Json &object, const char *name)
{
    const Json *value = find(object, name);
    if (value != nullptr && !value->is_string()) {
        throw InvalidArgumentError(absl::StrCat(name, ": not a text"));
    }
    return value == nullptr ? "" : value->get<std::string>();
}

std::string requiredTextOf(const Json &object, const char *name)
{
    std::string text = textOf(object, name);
    if (text.empty()) {
        throw InvalidArgumentError(absl::StrCat(name, ": missing"));
    }
    return text;
}

const Json &listOf(const Json &object, const char *name)
{
    static const Json empty = Json::array();
    const Json *value = find(object, name);
    if (value != nullptr && !value->is_array()) {
        throw InvalidArgumentError(absl::StrCat(name, ": not a list"));
    }
    return value == nullptr ? empty : *value;
}

std::vector<std::string> textsOf(const Json &object, const char *name)
{
    std::vector<std::string> texts;
    for (const Json &entry : listOf(object, name)) {
        if (!entry.is_string()) {
            throw InvalidArgumentError(absl::StrCat(name, ": not a list of texts"));
        }
        texts.push_back(entry.get<std::string>());
    }
    return texts;
}

std::string rowText(const Json &value)
{
    if (!value.is_string()) {
        throw MalformedBodyError("a text is expected in a row");
    }
    return value.get<std::string>();
}

std::uint64_t rowNumber(const Json &value, std::uint64_t most)
{
    if (!isWholeFromZero(value) || wholePartOf(value) > most) {
        throw MalformedBodyError(absl::StrCat("a number from 0 to ", most, " is expected in a row"));
    }
    return wholePartOf(value);
}

} // namespace paddlepier::json

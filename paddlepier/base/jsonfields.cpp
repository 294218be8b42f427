// Reads fields of JSON bodies, checking types and bounds.

#include "paddlepier/base/jsonfields.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>

namespace paddlepier::json
{

namespace
{

/** Largest real number accepted as an integer: above about 9e15 doubles can't represent every integer. */
constexpr double maxReal = 9e15;

bool isUnsignedNumber(const Json &value)
{
    return value.is_number_unsigned() || (value.is_number_integer() && value.get<std::int64_t>() >= 0)
           || (value.is_number_float() && value.get<double>() >= 0 && value.get<double>() <= maxReal);
}

std::uint64_t integerPartOf(const Json &value)
{
    return value.is_number_float() ? static_cast<std::uint64_t>(value.get<double>()) : value.get<std::uint64_t>();
}

} // namespace

Json parseObject(const std::string &body)
{
    Json value = Json::parse(body, nullptr, false);
    if (value.is_discarded()) {
        throw MalformedBodyError("the body is not valid JSON");
    }
    if (!value.is_object()) {
        throw MalformedBodyError("the body is not a JSON object");
    }
    return value;
}

const Json *find(const Json &object, const char *name)
{
    if (!object.is_object()) {
        throw MalformedBodyError(absl::StrCat("the parent of field ", name, " is not a JSON object"));
    }
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::uint64_t numberOf(const Json &object, const char *name, std::uint64_t fallback, std::uint64_t max)
{
    const Json *value = find(object, name);
    if (value == nullptr) {
        return fallback;
    }
    if (!isUnsignedNumber(*value)) {
        throw InvalidArgumentError(absl::StrCat(name, ": expected a number of at least 0"));
    }
    const std::uint64_t number = integerPartOf(*value);
    if (number > max) {
        throw InvalidArgumentError(absl::StrCat(name, ": ", number, " is above the maximum of ", max));
    }
    return number;
}

std::uint64_t positiveNumberOf(const Json &object, const char *name, std::uint64_t max)
{
    const Json *value = find(object, name);
    if (value == nullptr) {
        return 0;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() == 0 || value->get<std::uint64_t>() > max) {
        throw InvalidArgumentError(absl::StrCat(name, ": expected an integer from 1 to ", max));
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
        throw InvalidArgumentError(absl::StrCat(name, ": expected a number of at least 0"));
    }
    return value->get<double>();
}

bool boolOf(const Json &object, const char *name)
{
    const Json *value = find(object, name);
    if (value != nullptr && !value->is_boolean()) {
        throw InvalidArgumentError(absl::StrCat(name, ": expected true or false"));
    }
    return value != nullptr && value->get<bool>();
}

std::string textOf(const Json &object, const char *name)
{
    const Json *value = find(object, name);
    if (value != nullptr && !value->is_string()) {
        throw InvalidArgumentError(absl::StrCat(name, ": expected a string"));
    }
    return value == nullptr ? "" : value->get<std::string>();
}

std::string requiredTextOf(const Json &object, const char *name)
{
    std::string text = textOf(object, name);
    if (text.empty()) {
        throw InvalidArgumentError(absl::StrCat(name, ": missing or empty"));
    }
    return text;
}

const Json &listOf(const Json &object, const char *name)
{
    static const Json empty = Json::array();
    const Json *value = find(object, name);
    if (value != nullptr && !value->is_array()) {
        throw InvalidArgumentError(absl::StrCat(name, ": expected a list"));
    }
    return value == nullptr ? empty : *value;
}

std::vector<std::string> textsOf(const Json &object, const char *name)
{
    std::vector<std::string> texts;
    for (const Json &entry : listOf(object, name)) {
        if (!entry.is_string()) {
            throw InvalidArgumentError(absl::StrCat(name, ": expected a list of strings"));
        }
        texts.push_back(entry.get<std::string>());
    }
    return texts;
}

std::string rowText(const Json &value)
{
    if (!value.is_string()) {
        throw MalformedBodyError("expected a string as entry of a row");
    }
    return value.get<std::string>();
}

std::uint64_t rowNumber(const Json &value, std::uint64_t max)
{
    if (!isUnsignedNumber(value) || integerPartOf(value) > max) {
        throw MalformedBodyError(absl::StrCat("expected a number from 0 to ", max, " as entry of a row"));
    }
    return integerPartOf(value);
}

} // namespace paddlepier::json

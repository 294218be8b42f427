// Reads fields of JSON bodies with their types and bounds.
//
// A field that is missing gives its fallback; one of another type, negative, fractional or beyond its bounds is an
// InvalidArgumentError with the field's name. Bytes that are no JSON, and rows that aren't as their reader states them,
// are a MalformedBodyError.
//
// Example:
//     const Json object = parseObject(body);
//     const std::uint32_t count = smallNumberOf(object, "count");
//
// Thread safety: free functions without state. Cost: parsing is O(bytes) and doesn't recurse, however deep the nesting is.

#ifndef PADDLEPIER_BASE_JSONFIELDS_H
#define PADDLEPIER_BASE_JSONFIELDS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace paddlepier::json
{

using Json = nlohmann::json;

constexpr std::uint64_t maxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t maxNumber = std::numeric_limits<std::int64_t>::max();

/** @throws MalformedBodyError if @p body is no JSON object */
Json parseObject(const std::string &body);

/** Null if the field is missing or null. @throws MalformedBodyError if @p object is none */
const Json *find(const Json &object, const char *name);

std::uint64_t numberOf(const Json &object, const char *name, std::uint64_t fallback = 0, std::uint64_t most = maxUint32);
/** The same without a fraction, however it is written, and from 1; 0 if it is missing. */
std::uint64_t positiveNumberOf(const Json &object, const char *name, std::uint64_t most);
std::uint32_t uint32Of(const Json &object, const char *name, std::uint32_t fallback = 0);
double realOf(const Json &object, const char *name, double fallback);
bool boolOf(const Json &object, const char *name);
std::string textOf(const Json &object, const char *name);
/** @throws InvalidArgumentError also if the text is missing or empty */
std::string requiredTextOf(const Json &object, const char *name);
const Json &listOf(const Json &object, const char *name);
/** A list of texts. */
std::vector<std::string> textsOf(const Json &object, const char *name);

/** An entry of a row. @throws MalformedBodyError if it is of another type, or a number below 0 or above @p most */
std::string rowText(const Json &value);
std::uint64_t rowNumber(const Json &value, std::uint64_t most = maxUint32);

} // namespace paddlepier::json

#endif

// Reads fields of JSON bodies, checking types and bounds.
//
// A field that is missing or null yields its fallback. A field that has another type, is negative, or exceeds its bound throws an
// InvalidArgumentError that names the field. A body that is not a JSON object, and a value in a row that has another type or is out of
// bounds, throw a MalformedBodyError.
//
// Example:
//     const Json object = parseObject(body);
//     const std::uint32_t count = uint32Of(object, "count");
//
// Thread safety: free functions without state. Cost: parsing is O(bytes), without recursion for nested values.

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
/** Bound of 64-bit fields, some of which are stored as signed integers. */
constexpr std::uint64_t maxNumber = std::numeric_limits<std::int64_t>::max();

/** @throws MalformedBodyError if @p body is not a JSON object */
Json parseObject(const std::string &body);

/** @return null if the field is missing or null. @throws MalformedBodyError if @p object is not an object */
const Json *find(const Json &object, const char *name);

/** A number from 0 to @p max; a fractional part is cut off. A number written as a real number is accepted up to 9e15. */
std::uint64_t numberOf(const Json &object, const char *name, std::uint64_t fallback = 0, std::uint64_t max = maxUint32);
/** An integer from 1 to @p max; 0 if the field is missing. An integer that is written as a real number, such as 1.0, is rejected. */
std::uint64_t positiveNumberOf(const Json &object, const char *name, std::uint64_t max);
std::uint32_t uint32Of(const Json &object, const char *name, std::uint32_t fallback = 0);
/** A number of at least 0, without upper bound. */
double realOf(const Json &object, const char *name, double fallback);
/** False if the field is missing. */
bool boolOf(const Json &object, const char *name);
/** Empty if the field is missing. */
std::string textOf(const Json &object, const char *name);
/** Like textOf(). @throws InvalidArgumentError also if the text is missing or empty */
std::string requiredTextOf(const Json &object, const char *name);
/** An array; empty if the field is missing. */
const Json &listOf(const Json &object, const char *name);
/** Elements of a list of strings; empty if the field is missing. */
std::vector<std::string> textsOf(const Json &object, const char *name);

/**
 * Value of a row, which is an array with one value per column.
 *
 * @throws MalformedBodyError if the value has another type, or is a number outside 0 to @p max
 */
std::string rowText(const Json &value);
std::uint64_t rowNumber(const Json &value, std::uint64_t max = maxUint32);

} // namespace paddlepier::json

#endif

// Scenario counts and seeds of randomised tests.
//
// CI runs a fixed number of scenarios from fixed seeds; PADDLEPIER_SCENARIO_FACTOR multiplies the number for long runs, and
// PADDLEPIER_SCENARIO_BASE shifts the seeds (see scripts/fuzz.sh).

#ifndef PADDLEPIER_TESTING_PROPERTY_H
#define PADDLEPIER_TESTING_PROPERTY_H

#include <cstdint>
#include <cstdlib>
#include <string>

namespace paddlepier::testing
{

inline std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

/** Number of scenarios to run where CI runs @p defaultCount. */
inline std::uint64_t scenarios(std::uint64_t defaultCount)
{
    return defaultCount * environmentNumber("PADDLEPIER_SCENARIO_FACTOR", 1);
}

/** Added to every scenario's number to make its seed. */
inline std::uint64_t seedBase()
{
    return environmentNumber("PADDLEPIER_SCENARIO_BASE", 0);
}

} // namespace paddlepier::testing

#endif

// Arithmetic on amounts of processors, memory and accelerators.
//
// Thread safety: free functions without state.

#ifndef PADDLEPIER_LEDGER_RESOURCES_H
#define PADDLEPIER_LEDGER_RESOURCES_H

#include "paddlepier/wire/api_generated.h"

#include <algorithm>

namespace paddlepier::ledger
{

using wire::Resources;

/** True if @p need doesn't exceed @p available in any dimension. */
inline bool fits(const Resources &need, const Resources &available)
{
    return need.milliProcessors() <= available.milliProcessors() && need.memoryMegabytes() <= available.memoryMegabytes()
           && need.accelerators() <= available.accelerators();
}

inline Resources plus(const Resources &left, const Resources &right)
{
    return {left.milliProcessors() + right.milliProcessors(), left.memoryMegabytes() + right.memoryMegabytes(), left.accelerators() + right.accelerators()};
}

/** @p left minus @p right, at least zero in every dimension. */
inline Resources minus(const Resources &left, const Resources &right)
{
    const auto difference = [](std::uint64_t a, std::uint64_t b) { return a > b ? a - b : 0; };
    return {difference(left.milliProcessors(), right.milliProcessors()),
            difference(left.memoryMegabytes(), right.memoryMegabytes()),
            difference(left.accelerators(), right.accelerators())};
}

inline bool isZero(const Resources &resources)
{
    return resources.milliProcessors() == 0 && resources.memoryMegabytes() == 0 && resources.accelerators() == 0;
}

/** Largest ratio of @p part to @p total in any dimension (dominant resource fairness); 0 to 1. */
inline double dominantShare(const Resources &part, const Resources &total)
{
    const auto ratio = [](std::uint64_t a, std::uint64_t b) { return b == 0 ? 0.0 : static_cast<double>(a) / static_cast<double>(b); };
    return std::max({ratio(part.milliProcessors(), total.milliProcessors()),
                     ratio(part.memoryMegabytes(), total.memoryMegabytes()),
                     ratio(part.accelerators(), total.accelerators())});
}

} // namespace paddlepier::ledger

#endif

// Slows filling runs down where they disturb serving ones on the same worker.
//
// A serving run has a target for the tail latency of its own users. While the worst of a worker's serving runs is near its
// target or over it, the filling runs beside it are slowed, by much where it is far over; when it has been well below for
// a while they are let go again step by step.
//
// Thread safety: none; owned by the dispatcher. update() is O(runs on the worker).

#ifndef PADDLEPIER_EXECUTION_PACECONTROL_H
#define PADDLEPIER_EXECUTION_PACECONTROL_H

#include "paddlepier/base/clock.h"

#include <cstdint>
#include <vector>

namespace paddlepier::execution
{

/** Tail latency of a serving run and what it owes its users, in milliseconds. */
struct ServingLoad {
    std::uint32_t tailMillis = 0;
    std::uint32_t targetMillis = 0;
};

class PaceControl
{
public:
    /** @return the pace for every filling run on the worker, in per cent */
    std::uint32_t update(Timestamp now, const std::vector<ServingLoad> &serving);

    std::uint32_t pace() const;
    /** Since when the filling runs stand still; infinite if they work. */
    Timestamp stoppedSince() const;

private:
    std::uint32_t currentPace = 100;
    Timestamp nextChange = absl::InfinitePast();
    Timestamp stoppedAt = absl::InfiniteFuture();
};

} // namespace paddlepier::execution

#endif

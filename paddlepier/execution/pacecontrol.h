// Throttles filling runs that interfere with serving runs on the same worker.
//
// A serving run has a target for the tail latency of its users' requests. While the worst serving run of a worker is near or
// above its target, the worker's filling runs are slowed down, sharply if it is far above. Once it has been well below its target
// for a while, their speed is raised again step by step.
//
// Thread safety: none; owned by the dispatcher. update() is O(runs on the worker).

#ifndef PADDLEPIER_EXECUTION_PACECONTROL_H
#define PADDLEPIER_EXECUTION_PACECONTROL_H

#include "paddlepier/base/clock.h"

#include <cstdint>
#include <vector>

namespace paddlepier::execution
{

/** Tail latency of a serving run and its target, in milliseconds. */
struct ServingLoad {
    std::uint32_t tailMillis = 0;
    std::uint32_t targetMillis = 0;
};

class PaceControl
{
public:
    /** @return the speed limit for every filling run on the worker, in per cent */
    std::uint32_t update(Timestamp now, const std::vector<ServingLoad> &serving);

    std::uint32_t pace() const;
    /** Time since which the filling runs are stopped; infinite if they are running. */
    Timestamp stoppedSince() const;

private:
    std::uint32_t currentPace = 100;
    Timestamp nextChange = absl::InfinitePast();
    Timestamp stoppedAt = absl::InfiniteFuture();
};

} // namespace paddlepier::execution

#endif

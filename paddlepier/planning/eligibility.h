// Whether a worker may get a task of a step at all, however much room it has.
//
// A worker on which every run fails looks free all the time and would draw all the work: after a few failures in a row it
// gets none for a while, and then shows itself by one run at a time. Attempts are few, so that a task that has failed
// before goes only where nothing failed lately.
//
// Example:
//     if (mayRun(room, wanted, service) && isAcceptable(room)) { ... }
//
// Thread safety: free functions without state. Cost: O(1).

#ifndef PADDLEPIER_PLANNING_ELIGIBILITY_H
#define PADDLEPIER_PLANNING_ELIGIBILITY_H

#include "paddlepier/planning/suitability.h"

#include <cstdint>

namespace paddlepier::planning
{

/** Failed ends in a row after which a worker gets no work for a while; one alone may be the task's own fault. */
constexpr std::uint32_t suspectFailureThreshold = 2;

/** @param service  number of the step's service among the rooms */
bool mayRun(const WorkerCapacity &room, const PendingStep &wanted, std::uint32_t service);
/** It hasn't failed too much lately, or is to show itself; and no task is proving itself there. */
bool isAcceptable(const WorkerCapacity &room);
/** The same for a task that may have failed before. */
bool isTrustedFor(const WorkerCapacity &room, const workload::Task &task);
/** One more task of the step keeps to the step's bound for each worker. */
bool isBelowPerWorkerLimit(const WorkerCapacity &room, const PendingStep &wanted);

/** A run of the step can be stopped and go on later without losing much: it saves its progress, and nothing depends on its staying. */
bool isCheapToPreempt(const work::StepSpecT &step);

} // namespace paddlepier::planning

#endif

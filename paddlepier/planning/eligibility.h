// Predicates that decide whether a worker may run a task of a step, apart from its free capacity.
//
// barOfWorker() and barForStep() hold at two moments: when a task is placed, and again right before each of its starts is sent, which may be seconds later.
//
// A worker on which every run fails looks idle all the time and would attract all work. After several failures in a row it
// gets no work for a while, and then one run at a time as a test. A test ends with its run, or once that run has settled, and doesn't depend on what
// else runs there. Since attempts are limited, a task that has already failed is placed only on
// workers without recent failures.
//
// Example:
//     if (mayRun(worker, pending, service) && isAcceptable(worker)) { ... }
//
// Thread safety: free functions without state. Cost: O(1).

#ifndef PADDLEPIER_PLANNING_ELIGIBILITY_H
#define PADDLEPIER_PLANNING_ELIGIBILITY_H

#include "paddlepier/base/clock.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>

namespace paddlepier::planning
{

/** Consecutive failed runs after which a worker gets no work for a while; a single failure may be caused by the task. */
constexpr std::uint32_t suspectFailureThreshold = 2;

/** Why a start must not be sent to a worker. The first bars last for as long as the worker's registration and the configuration stay the same. */
enum class StartBar { None, Evacuated, Draining, OtherService, SpareService, NoLabel, StartsBlocked, Unreachable, AnswerOverdue };
const char *nameOf(StartBar bar);

/** True if the worker may accept the start in a moment, so that a start which may have reached it already can wait there. */
bool isMomentary(StartBar bar);

/**
 * The bar of a worker for any step.
 *
 * @param view            null for a worker that the leader hasn't polled yet
 * @param excludesOverdue  whether a worker with an overdue answer is barred
 */
StartBar barOfWorker(Timestamp now, const workload::Workload &state, const workload::Worker &worker, const execution::WorkerView *view, bool excludesOverdue);
/** The bar of a worker for one step. @param hasService  whether it offers the service of the step's queue */
StartBar barForStep(const workload::Worker &worker, bool hasService, bool isSpare, const work::StepSpecT &step);

/** True if the worker is usable and offers the step's service and label. @param service  number of the step's service in the capacity index */
bool mayRun(const WorkerCapacity &worker, const PendingStep &pending, std::uint32_t service);
/** True if the worker has few failures in a row, or is on probation without a test run; false while it is isolated for a suspect task. */
bool isAcceptable(const WorkerCapacity &worker);
/** True if so many runs failed on the worker in a row that it gets one run at a time at most. */
bool isSuspect(const WorkerCapacity &worker);
/** True if runs have failed on the worker and its suspension hasn't ended. */
bool hasRecentFailures(const WorkerCapacity &worker);
/** Like isAcceptable(), but a task that has failed before also needs a worker without recent failures, or one on probation. */
bool isTrustedFor(const WorkerCapacity &worker, const workload::Task &task);
/** True if the step's limit of tasks per worker admits one more. */
bool isBelowPerWorkerLimit(const WorkerCapacity &worker, const PendingStep &pending);

/** A run of the step can be stopped and resumed with little loss: it saves checkpoints, and no other run depends on it. */
bool isCheapToPreempt(const work::StepSpecT &step);

} // namespace paddlepier::planning

#endif

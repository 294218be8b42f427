// Restricts where tasks are started that may have crashed workers, and delays those that are in backoff.
//
// Any task that ran on a lost worker may have caused the loss, though most didn't: the loss of a rack leaves hundreds of suspects, and they
// must not wait for each other. A suspect is therefore started at once, but where another loss would cost least: on an emptier
// worker, apart from other suspects, away from lasting steps and gangs. After two losses the task's worker gets no other task for a
// while, so that a further loss identifies the cause; only a part of all workers is isolated at a time.
//
// Held back are tasks that workers rejected as invalid, until their backoff has ended, and tasks that may have caused the loss of the
// maximum number of workers.
//
// Example:
//     isolation.begin(now);
//     isolation.holdBack(now, pending);
//     const double cost = penaltyOf(worker, pending) + SuspectIsolation::penalty(worker, task);
//     isolation.recordStart(worker, task, step);
//
// Thread safety: none; owned by the planner. Cost: begin() is O(suspects x log runs), the rest O(1).

#ifndef PADDLEPIER_PLANNING_SUSPECTISOLATION_H
#define PADDLEPIER_PLANNING_SUSPECTISOLATION_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/taskbackoff.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/workload/workload.h"

#include <cstddef>

namespace paddlepier::planning
{

class SuspectIsolation
{
public:
    SuspectIsolation(const workload::Workload &workloadState,
                     const execution::RunTracks &runTracks,
                     const execution::TaskBackoff &backoff,
                     CapacityIndex &planIndex);

    /** Begins a plan: marks the workers on which suspect tasks run unproven. */
    void begin(Timestamp now);
    /**
     * Removes tasks that are in backoff, and those that may have caused the maximum number of losses, some of which are still unconfirmed.
     * If one task of a gang is held back, all are.
     */
    void holdBack(Timestamp now, PendingStep &pending) const;
    /** Penalty for what else a loss of the worker would cost; 0 for a task that isn't suspect. */
    static double penalty(const WorkerCapacity &worker, const workload::Task &task);
    /** Records that this plan places the task on the worker. */
    void recordStart(WorkerCapacity &worker, const workload::Task &task, const work::StepSpecT &step);

private:
    /** Isolates the worker if the task has enough losses and the limit of isolated workers isn't reached. */
    void isolate(WorkerCapacity &worker, const workload::Task &task, const work::StepSpecT &step);

    const workload::Workload &state;
    const execution::RunTracks &tracks;
    const execution::TaskBackoff &taskBackoff;
    CapacityIndex &capacityIndex;
    std::size_t isolatedWorkers = 0;
    std::size_t maxIsolatedWorkers = 0;
};

} // namespace paddlepier::planning

#endif

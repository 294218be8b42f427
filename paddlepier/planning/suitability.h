// The planner's models of a worker and of a waiting step, and the penalty for placing a task of the step on the worker.
//
// A job is served only when all its tasks are, and any worker may fail or be partitioned, most often with its whole data
// centre. The tasks of a step are therefore kept together, in one data centre and on few workers, so that one failure delays
// few jobs. Lasting steps don't need to be complete and go to the workers with most free capacity.
//
// Example:
//     const double penalty = penaltyOf(worker, pending); // the worker with the lowest penalty suits best
//
// Thread safety: plain values and free functions without state. Cost: O(1).

#ifndef PADDLEPIER_PLANNING_SUITABILITY_H
#define PADDLEPIER_PLANNING_SUITABILITY_H

#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/advicecache.h"
#include "paddlepier/planning/objectiveforecast.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::planning
{

/** No data centre is preferred or known. */
constexpr std::uint32_t noDataCentre = std::numeric_limits<std::uint32_t>::max();

/** Number of tasks of @p step that fit into the given capacity. */
std::size_t tasksThatFitInto(std::int64_t processors, std::int64_t memory, std::int64_t accelerators, const work::StepSpecT &step);

/** One worker as seen by a plan, with the capacity that is free after the placements decided so far. */
struct WorkerCapacity {
    /** Key of `record` in the ledger; both are null while the entry is vacant. */
    const workload::Incarnation *incarnationKey = nullptr;
    const workload::Worker *record = nullptr;
    const execution::WorkerView *view = nullptr;
    /** Numbers of the data centre and the service in the capacity index, and of the worker in the advice cache. */
    std::uint32_t dataCentre = 0;
    std::uint32_t service = 0;
    std::uint32_t adviceNumber = 0;
    /** The worker is responsive, isn't draining and may get work. */
    bool isUsable = false;
    /** An answer of the worker is overdue. */
    bool isOverdue = false;
    /** A plan has modified this entry. */
    bool isModified = false;
    /** The worker's service is a spare one: its machine is switched off, and nothing is placed on it. */
    bool isSpare = false;
    /** Its last runs failed, but its suspension has ended. */
    bool isOnProbation = false;
    /** Of a suspect worker: runs placed since its last failure, including those of this plan, that haven't settled. They show whether it is sound. */
    std::int32_t testRuns = 0;
    /** Runs of suspect tasks that haven't run long enough to be cleared. */
    std::uint32_t suspectRuns = 0;
    /** One of these runs tests whether its task crashes workers; meanwhile no other task is placed here. */
    bool isIsolated = false;
    std::int64_t freeProcessors = 0;
    std::int64_t freeMemory = 0;
    std::int64_t freeAccelerators = 0;
    /** Millicores that stopping runs are about to release. */
    std::int64_t releasingProcessors = 0;
    /** For the step that is being planned: tasks on this worker, whether any was ever counted, and the advice of the policy service. */
    std::uint32_t stepTasks = 0;
    bool isCountedForStep = false;
    AdviceStatus adviceStatus = AdviceStatus::NotRequested;

    const workload::Incarnation &incarnation() const;
    std::string_view rack() const;

    /** Called for each worker and step of a plan; defined here to be inlined. */
    bool fits(const work::StepSpecT &step) const
    {
        const work::Demand &demand = *step.demand;
        const bool hasProcessors = step.isFilling || this->freeProcessors >= demand.milliProcessors();
        return hasProcessors && this->freeMemory >= demand.memoryMegabytes() && this->freeAccelerators >= demand.accelerators();
    }

    std::size_t tasksThatFit(const work::StepSpecT &step) const;
    /** Reserves capacity for @p tasks tasks of @p step; a negative number releases it. */
    void reserve(const work::StepSpecT &step, std::int64_t tasks = 1);
};

/** A step with tasks to place. */
struct PendingStep {
    const workload::Job *job = nullptr;
    workload::StepKey key;
    const work::StepSpecT *step = nullptr;
    const workload::Step *progress = nullptr;
    /** The default value (in time, no remaining work) for a lasting step, which has no objective. */
    ObjectiveForecast forecast;
    std::vector<std::uint32_t> tasks;
    /** A task of the same occurrence has been placed before. */
    bool hasStarted = false;
    /** Data centre in which its tasks are kept together. */
    std::uint32_t preferredDataCentre = noDataCentre;
    /** Data centre for tasks that don't fit into the preferred one. */
    std::uint32_t fallbackDataCentre = noDataCentre;

    /** True for steps whose tasks are kept together: all but lasting and filling ones. */
    bool prefersOneDataCentre() const;
};

/** Penalty for placing a task of the step on the worker, in units of a completely free worker; lower is better. */
double penaltyOf(const WorkerCapacity &worker, const PendingStep &pending);

} // namespace paddlepier::planning

#endif

// Finds steps that have waited long without a placement, and the reason why.
//
// A plan skips steps without logging it, since most of them are placed some milliseconds later. For a long wait the caller and the operator
// need the reason: it is reported in the log, in a counter, and in the answer to a query for the job.
//
// Example:
//     for (const LongWait &wait : monitor.scan(now, wallMillis)) { log(wait); }
//
// Thread safety: none; owned by the planner. Cost: scan() is O(waiting steps x log of their number), and O(workers) for each of the
// few steps that it reports.

#ifndef PADDLEPIER_PLANNING_WAITMONITOR_H
#define PADDLEPIER_PLANNING_WAITMONITOR_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/taskbackoff.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/planning/steporder.h"
#include "paddlepier/planning/suspectisolation.h"
#include "paddlepier/workload/workload.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace paddlepier::planning
{

/**
 * Why the first waiting task of a step isn't placed, in the order in which the reasons are checked. Each enumerator says when the wait ends.
 * Their texts, see nameOf(), are part of the outer interface.
 */
enum class WaitReason {
    /** It may have caused the loss of the maximum number of workers: until some of them respond, or the end of their runs is confirmed. */
    LossesInDoubt,
    /** Backoff after workers rejected it as invalid: some seconds. */
    Paused,
    /** Its team's quota is used up: until runs of the team end, or the quota is raised. */
    TeamAtQuota,
    /** No worker of its service has the required label: until one joins. */
    NoWorker,
    /** All workers with the label are in evacuated data centres: until an evacuation is withdrawn, or a worker joins elsewhere. */
    Evacuated,
    /** Workers with the label are unresponsive, draining or temporarily blocked: until they recover, or others join. */
    WorkersUnusable,
    /** The policy service forbids all usable workers: until one joins that it permits. */
    NotPermitted,
    /** Each worker runs as many tasks of the step as its limit per worker allows: until one of them ends. */
    PerWorkerBound,
    /** The workers are isolated for suspect tasks: two seconds for each task. */
    KeptApart,
    /** Too many runs failed on the workers recently: until their suspension has ended. */
    WorkersBarred,
    /** A superseded run of the task may still be on the worker: until the worker reports its end, or its lease expires. */
    CopyUnsettled,
    /** The task exceeds the total capacity of each worker: until a larger one joins. */
    TooLarge,
    /** Other runs use the capacity that the task, or part of its gang, needs: until enough of them end or are preempted. */
    NoRoom,
    /** An answer of the policy service is pending, or a request got none: until the answer arrives or the request is repeated. */
    AdviceAwaited,
    /** Capacity is free but reserved for a step that is earlier in the order: until that step is placed. */
    RoomKept
};
const char *nameOf(WaitReason reason);

/** A wait without any placement is reported after this time, which is well above the time that urgent work waits in a full cell. */
constexpr Duration longWaitThreshold = absl::Seconds(10);

struct LongWait {
    workload::StepKey step;
    std::size_t tasks = 0;
    Duration waited;
    WaitReason reason = WaitReason::NoRoom;
    /** For WorkersBarred: some of the workers, each with its failed runs, how long its suspension still lasts, and its runs; else empty. */
    std::string barredWorkers;
};

class WaitMonitor
{
public:
    WaitMonitor(const workload::Workload &workloadState,
                const execution::TaskBackoff &backoff,
                StepOrder &stepOrder,
                CapacityIndex &planIndex,
                SuspectIsolation &suspectIsolation);

    /** Steps with a long wait that weren't reported recently, a limited number for each call; must be called between two plans. */
    std::vector<LongWait> scan(Timestamp now, std::int64_t wallMillis);
    /** The ongoing wait of @p job that was reported last; null if there is none. */
    const LongWait *find(const std::string &job) const;

private:
    struct StepWait {
        /** When a task of the step was last placed, or the step started to wait. */
        Timestamp since;
        Timestamp reportedAt = absl::InfinitePast();
        std::size_t tasks = 0;
    };

    void updateSteps(Timestamp now);
    WaitReason reasonFor(Timestamp now, const PendingStep &pending);
    /** Describes workers that may run the step but aren't trusted with it. */
    std::string describeBarredWorkers(Timestamp now, const PendingStep &pending);
    /** True if a worker of the step's service has its required label and satisfies @p isCounted. */
    template<typename Predicate>
    bool hasWorkerFor(const PendingStep &pending, Predicate isCounted) const;

    const workload::Workload &state;
    const execution::TaskBackoff &taskBackoff;
    StepOrder &order;
    CapacityIndex &capacityIndex;
    SuspectIsolation &isolation;
    std::map<workload::StepKey, StepWait> stepWaits;
    // Invariant: its keys are a subset of those of `stepWaits`.
    std::map<workload::StepKey, LongWait> reported;
};

} // namespace paddlepier::planning

#endif

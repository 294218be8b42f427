// Decides which waiting tasks are placed on which workers, which advice is requested, and which runs are preempted.
//
// A plan is computed from the ledger and from the leader's views of the workers; computing it changes neither. Each decision has its own part:
//  - the order in which steps are planned (steporder.h);
//  - how many more tasks the team's quota admits (quotatracker.h);
//  - which workers may run a task (eligibility.h, and suspectisolation.h for a task that may crash workers), and which of those with
//    free capacity suits best (suitability.h): combined here;
//  - where capacity for wide tasks becomes free first, and its reservation (capacityreserver.h);
//  - which advice to request, and what capacity to reserve until the answer arrives (advicerequester.h);
//  - which runs are preempted (preemption.h).
// Steps that can't make progress are skipped unless they need a reservation, and a plan ends when its placement budget is used. Its cost
// therefore depends on what changed and on what can be placed, not on how much is waiting.
//
// Example:
//     const Plan plan = planner.plan(now, wallMillis);
//
// Thread safety: none; owned by the control thread. Cost: O(changes + waiting steps) with a small constant, O(workers) for each
// advice request and each step that needs no advice, O(eligible workers) for each placed task.

#ifndef PADDLEPIER_PLANNING_PLANNER_H
#define PADDLEPIER_PLANNING_PLANNER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/orders.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/advicecache.h"
#include "paddlepier/planning/advicerequester.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/planning/capacityreserver.h"
#include "paddlepier/planning/datacentreselector.h"
#include "paddlepier/planning/objectiveforecast.h"
#include "paddlepier/planning/preemption.h"
#include "paddlepier/planning/quotatracker.h"
#include "paddlepier/planning/steporder.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/planning/suspectisolation.h"
#include "paddlepier/planning/waitmonitor.h"
#include "paddlepier/workload/workload.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::planning
{

struct Plan {
    std::vector<work::PlacementT> placements;
    std::vector<execution::AdviceRequest> adviceRequests;
    /** Runs to stop; their tasks resume later from their checkpoints. */
    std::vector<Preemption> preemptions;
};

/** Limits on the output of one plan. */
struct PlanBudget {
    AdviceBudget adviceBudget;
    /** The plan ends once it has placed this many tasks; the step or gang that reaches the limit is still placed completely. */
    std::size_t placements = std::numeric_limits<std::size_t>::max();
};

/** Work done by all plans so far, as a measure of their cost. */
struct PlanWork {
    std::uint64_t workersRead = 0;
    std::uint64_t jobsReordered = 0;
    /** Steps that could make progress, and those of them that were planned. */
    std::uint64_t stepsExamined = 0;
    std::uint64_t stepsPlanned = 0;
    /** Forecasts of when a worker will have free capacity for a wide step. */
    std::uint64_t capacityForecasts = 0;
};

class Planner
{
public:
    Planner(const workload::Workload &workloadState,
            const execution::WorkerViews &workerViews,
            const execution::RunTracks &runTracks,
            const execution::TaskBackoff &taskBackoff,
            AdviceCache &cache,
            const std::map<std::string, double> &typicalRatiosByQueue);

    /** @param wallMillis  milliseconds since 1970 */
    Plan plan(Timestamp now, std::int64_t wallMillis, const PlanBudget &budget = {});
    /** See CapacityIndex::startBar(). */
    StartBar startBar(Timestamp now, const workload::TaskKey &task, const workload::Incarnation &worker) const;
    /** Must be called when a worker's view is new or has changed for any reason other than the passing of time. */
    void markViewChanged(const workload::Incarnation &worker);

    /** Steps whose wait exceeds longWaitThreshold, with the reason; see waitmonitor.h. */
    std::vector<LongWait> findLongWaits(Timestamp now, std::int64_t wallMillis);
    /** The ongoing long wait of @p job that was reported last; null if there is none. */
    const LongWait *longWaitOf(const std::string &job) const;

    PlanWork work() const;
    /** Teams whose quota has delayed tasks since the last call. */
    std::set<std::string> drainTeamsAtQuota();

    /** Removes the state of jobs for which @p hasEnded returns true; O(steps). */
    template<typename Predicate>
    void removeEndedJobs(Predicate hasEnded)
    {
        this->dataCentreSelector.removeEndedJobs(hasEnded);
    }

private:
    /** A worker on which tasks of the step may be placed now. */
    struct Candidate {
        WorkerCapacity *worker;
        /** Infinite while no further task fits. */
        double penalty;
    };

    /** Steps that the plan has to process, in order; steps after the last one with StepAction::Schedule are omitted. */
    std::vector<const WaitingStep *> actionableSteps(Timestamp now);
    /** What a plan can do for a step now. */
    enum class StepAction {
        None,
        /** It can't make progress, but needs capacity reserved. */
        ReserveOnly,
        /** It may be placed, need an advice request, or preempt other runs. */
        Schedule
    };
    StepAction actionFor(Timestamp now, const WaitingStep &waiting);
    void planStep(Timestamp now, PendingStep &pending, Plan &plan);
    void planGang(PendingStep &pending, Plan &plan);
    /** Places all tasks on workers of @p rack, or of any rack if it is empty. @return false, with nothing placed, if they don't all fit */
    bool placeGang(PendingStep &pending, std::string_view rack, Plan &plan);
    void placeSingly(PendingStep &pending, Plan &plan);
    void collectCandidates(const PendingStep &pending);
    void evaluate(Candidate &candidate, const PendingStep &pending) const;
    /** Reserves capacity for @p tasks tasks; a negative number releases it. */
    void reserve(Candidate &candidate, const PendingStep &pending, std::int32_t tasks);
    Candidate *bestCandidate(const PendingStep &pending, std::uint32_t index, std::string_view rack);
    static work::PlacementT placement(const PendingStep &pending, std::uint32_t task, const workload::Incarnation &worker);

    AdviceCache &adviceCache;
    CapacityIndex capacityIndex;
    SuspectIsolation isolation;
    DataCentreSelector dataCentreSelector;
    ObjectiveForecaster forecaster;
    StepOrder order;
    QuotaTracker quotaTracker;
    CapacityReserver reserver;
    AdviceRequester adviceRequester;
    Preemptor preemptor;
    WaitMonitor waits;
    std::vector<Candidate> candidates;
    std::uint64_t examinedSteps = 0;
    std::uint64_t plannedSteps = 0;
};

} // namespace paddlepier::planning

#endif

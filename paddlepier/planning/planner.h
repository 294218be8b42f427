// Decides which waiting tasks go to which workers, what to ask the policy service, and what makes way for urgent work.
//
// A plan is made from the ledger and from what the leader knows of the workers; nothing is changed by making it. It is a
// sequence of decisions, each with its own part:
//  - in which order steps are taken (steporder.h);
//  - how much its team may still have placed (quotatracker.h);
//  - who may get a task (eligibility.h, and suspectisolation.h for one that may take workers down), and which of the workers with
//    room is taken (suitability.h): here;
//  - where room for wide tasks comes soonest, and is kept (capacityreserver.h);
//  - what to ask the policy service, and which room to keep until it answers (advicerequester.h);
//  - which runs make way (preemption.h).
// Steps of which nothing can come now are passed over unless room has to be kept for them, and a plan ends when as much is placed as
// may be: what it costs follows from what changed and what can be placed, not from what waits.
//
// Example:
//     const Plan plan = planner.plan(now, wallMillis);
//
// Thread safety: none; owned by the control thread. Cost: O(what changed + waiting steps) with a small constant, O(workers) for each
// question and each step that needs no advice, O(workers that may run it) for each placed task.

#ifndef PADDLEPIER_PLANNING_PLANNER_H
#define PADDLEPIER_PLANNING_PLANNER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/orders.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/advicecache.h"
#include "paddlepier/planning/advicerequester.h"
#include "paddlepier/planning/datacentreselector.h"
#include "paddlepier/planning/preemption.h"
#include "paddlepier/planning/objectiveforecast.h"
#include "paddlepier/planning/suspectisolation.h"
#include "paddlepier/planning/quotatracker.h"
#include "paddlepier/planning/capacityreserver.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/planning/steporder.h"
#include "paddlepier/planning/suitability.h"
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
    std::vector<execution::AdviceQuestion> questions;
    /** Runs that make way; their tasks go on later from their checkpoints. */
    std::vector<Preemption> preempted;
};

/** What may come of a plan. */
struct PlanBudget {
    QuestionBudget questions;
    /** The plan ends when it has placed as many tasks; the step or gang that reaches the number is placed as a whole. */
    std::size_t placements = std::numeric_limits<std::size_t>::max();
};

/** Sums of what plans have done, which is what they cost. */
struct PlanWork {
    std::uint64_t roomsRead = 0;
    std::uint64_t jobsPlacedInOrder = 0;
    /** Steps that something could come of, and those of them that were planned. */
    std::uint64_t stepsLookedAt = 0;
    std::uint64_t stepsPlanned = 0;
    /** How often it was judged when a worker comes to have room for a wide step. */
    std::uint64_t comingRooms = 0;
};

class Planner
{
public:
    Planner(const workload::Workload &workloadState,
            const execution::WorkerViews &workerViews,
            const execution::RunTracks &runTracks,
            const execution::Setbacks &setbacks,
            AdviceBook &book,
            const std::map<std::string, double> &usualRatiosByQueue);

    /** @param wallMillis  milliseconds since 1970 */
    Plan plan(Timestamp now, std::int64_t wallMillis, const PlanBudget &budget = {});
    /** To be called when a worker's view has changed by anything but the passing of time, or is new. */
    void noteView(const workload::Life &worker);

    /** Steps that have waited for long, and why; see waitmonitor.h. */
    std::vector<LongWait> lookForLongWaits(Timestamp now, std::int64_t wallMillis);
    /** The wait of @p job that was found last and lasts; null if there is none. */
    const LongWait *longWaitOf(const std::string &job) const;

    PlanWork work() const;
    /** Teams whose quota has kept tasks waiting since the last call. */
    std::set<std::string> takeTeamsAtQuota();

    /** Drops what is known of jobs that @p isOver says to have ended; O(steps). */
    template<typename Predicate>
    void forgetJobs(Predicate isOver)
    {
        this->homes.forgetJobs(isOver);
    }

private:
    /** A worker that a step may use now. */
    struct Choice {
        Room *room;
        /** Infinite while nothing more fits. */
        double penalty;
    };

    /** Steps that are worth a look, in order: no step after the last one that may act is among them. */
    std::vector<const WaitingStep *> stepsWorthALook(Timestamp now);
    /** What planning a step is good for now. */
    enum class Use {
        None,
        /** Room is to be kept for it, though nothing can come of it now. */
        KeepsRoom,
        /** It may be placed, asked about, or make others give way. */
        Acts
    };
    Use useOf(Timestamp now, const WaitingStep &waiting);
    void planStep(Timestamp now, WantedStep &wanted, Plan &plan);
    void planGang(WantedStep &wanted, Plan &plan);
    /** Places the tasks on workers of @p rack, or of any if it is empty, where there is room for all. */
    bool placeGang(WantedStep &wanted, std::string_view rack, Plan &plan);
    void placeSingly(WantedStep &wanted, Plan &plan);
    void collectChoices(const WantedStep &wanted);
    void judge(Choice &choice, const WantedStep &wanted) const;
    /** Takes room for one task, or gives it back. */
    void take(Choice &choice, const WantedStep &wanted, std::int32_t tasks);
    Choice *bestChoice(const WantedStep &wanted, std::uint32_t index, std::string_view rack);
    static work::PlacementT placement(const WantedStep &wanted, std::uint32_t task, const workload::Life &worker);

    AdviceBook &advice;
    Rooms rooms;
    Probation probation;
    Homes homes;
    Prospects prospects;
    StepOrder order;
    QuotaLeft quotas;
    RoomKeeper keeper;
    AdviceAsking asking;
    MakingWay makingWay;
    WaitWatch waits;
    std::vector<Choice> choices;
    std::uint64_t lookedAtSteps = 0;
    std::uint64_t plannedSteps = 0;
};

} // namespace paddlepier::planning

#endif

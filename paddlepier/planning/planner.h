// Decides which waiting tasks go to which workers, what to ask the policy service, and what makes way for urgent work.
//
// A plan is made from the ledger and from what the leader knows of the workers; nothing is changed by making it. It is a
// sequence of decisions, each with its own part:
//  - in which order steps are taken (steporder.h);
//  - how much its team may still have placed (quotaleft.h);
//  - who may get a task (eligibility.h, and probation.h for one that may take workers down), and which of the workers with
//    room is taken (suitability.h): here;
//  - where room for wide tasks comes soonest, and is kept (roomkeeping.h);
//  - what to ask the policy service, and which room to keep until it answers (asking.h);
//  - which runs make way (makingway.h).
// Steps of which nothing can come now are passed over unless room has to be kept for them.
//
// Example:
//     const Plan plan = planner.plan(now, wallMillis);
//
// Thread safety: none; owned by the control thread. Cost: O(waiting steps x workers + placed tasks x workers that
// may run them); O(waiting steps) if none of them can be placed, asked about or make others give way.

#ifndef PADDLEPIER_PLANNING_PLANNER_H
#define PADDLEPIER_PLANNING_PLANNER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/orders.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/advicebook.h"
#include "paddlepier/planning/asking.h"
#include "paddlepier/planning/homes.h"
#include "paddlepier/planning/makingway.h"
#include "paddlepier/planning/outlook.h"
#include "paddlepier/planning/probation.h"
#include "paddlepier/planning/quotaleft.h"
#include "paddlepier/planning/roomkeeping.h"
#include "paddlepier/planning/rooms.h"
#include "paddlepier/planning/steporder.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/planning/waiting.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
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
    Plan plan(Timestamp now, std::int64_t wallMillis, const QuestionBudget &budget = {});

    /** Steps that have waited for long, and why; see waiting.h. */
    std::vector<LongWait> lookForLongWaits(Timestamp now, std::int64_t wallMillis);
    /** The wait of @p job that was found last and lasts; null if there is none. */
    const LongWait *longWaitOf(const std::string &job) const;

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

    /** Something may come of planning it now: it may have a ticket, ask, or make others give way. */
    bool mayAct(Timestamp now, const WantedStep &wanted) const;
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

    const workload::Workload &state;
    const execution::WorkerViews &views;
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
};

} // namespace paddlepier::planning

#endif

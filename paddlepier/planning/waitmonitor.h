// Why tasks wait: steps of which no task has been placed for long, and what keeps them.
//
// A plan passes tasks over without a word, most of them for some milliseconds. One that waits for long is a question of its caller
// and of the operator, so that the reason is found for it and told: in a line, in a counter, and to who asks for the job.
//
// Example:
//     for (const LongWait &wait : watch.look(now, wallMillis)) { log(wait); }
//
// Thread safety: none; owned by the planner. Cost: look() is O(waiting steps log of them), and O(workers) for each of the few
// that are told.

#ifndef PADDLEPIER_PLANNING_WAITMONITOR_H
#define PADDLEPIER_PLANNING_WAITMONITOR_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/taskbackoff.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/suspectisolation.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/planning/steporder.h"
#include "paddlepier/workload/workload.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace paddlepier::planning
{

/** What keeps the first waiting task of a step, in the order in which it is looked for. Each says how it ends. */
enum class WaitReason {
    /** So many workers may have been lost under it that it may cost no more: until they answer, or their end is known. */
    LossesInDoubt,
    /** Workers have refused it as invalid: for some seconds. */
    Paused,
    /** Its team has placed as much as its quota allows: until runs of the team end, or the quota rises. */
    TeamAtQuota,
    /** No worker of its service has the label that it needs: until one joins. */
    NoWorker,
    /** All that have it are in evacuated data centres: until an evacuation is withdrawn, or a worker joins elsewhere. */
    Evacuated,
    /** Those that have it don't answer, drain or are unwell: until they answer, or others join. */
    WorkersUnusable,
    /** The policy service permits none of those that can be used: until one joins that it permits. */
    NotPermitted,
    /** As many tasks of the step are on each as may be: until one of them ends. */
    PerWorkerBound,
    /** Suspects are proving themselves there alone: for two seconds each. */
    KeptApart,
    /** Too much has failed there lately: until their time out is over. */
    WorkersBarred,
    /** An earlier run of the task may still be there: until its worker says, or its lease is over. */
    CopyUnsettled,
    /** No worker is as large as the task: until one joins. */
    TooLarge,
    /** Others have the room, or part of a gang's: until enough of their runs end or make way. */
    NoRoom,
    /** An answer of the policy service is awaited, or was due and didn't come: until it is asked again. */
    AdviceAwaited,
    /** There is room, and it is kept for a step that goes before: until that one is placed. */
    RoomKept
};
const char *nameOf(WaitReason reason);

/** Nothing of a step was placed for this long: well beyond what a full cell needs to give room to urgent work. */
constexpr Duration longWait = absl::Seconds(10);

struct LongWait {
    workload::StepKey step;
    std::size_t tasks = 0;
    Duration waited;
    WaitReason reason = WaitReason::NoRoom;
};

class WaitWatch
{
public:
    WaitWatch(
        const workload::Workload &workloadState, const execution::Setbacks &taskSetbacks, StepOrder &stepOrder, Rooms &planRooms, Probation &suspectProbation);

    /** Steps that have waited for long and weren't told lately, a few at a time; to be called between two plans. */
    std::vector<LongWait> look(Timestamp now, std::int64_t wallMillis);
    /** The wait of @p job that was told last and lasts; null if there is none. */
    const LongWait *find(const std::string &job) const;

private:
    struct Seen {
        /** When a task of it was last placed, or it came to wait. */
        Timestamp since;
        Timestamp toldAt = absl::InfinitePast();
        std::size_t tasks = 0;
    };

    void note(Timestamp now);
    WaitReason reasonFor(Timestamp now, const WantedStep &wanted);
    /** Workers of the step's service with its label, of which @p isCounted holds. */
    template<typename Predicate>
    bool hasWorkerFor(const WantedStep &wanted, Predicate isCounted) const;

    const workload::Workload &state;
    const execution::Setbacks &setbacks;
    StepOrder &order;
    Rooms &rooms;
    Probation &probation;
    std::map<workload::StepKey, Seen> seen;
    // Invariant: its keys are among those of `seen`.
    std::map<workload::StepKey, LongWait> told;
};

} // namespace paddlepier::planning

#endif
